import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";

/** How a service handles subsequent calls. */
export enum ServiceFault {
  None = "none",
  /** The request is not sent. */
  Unreachable = "unreachable",
  /** The call is executed, and its answer is lost. */
  LostAnswer = "lost-answer",
  /** The call is executed and never answered. */
  Silent = "silent",
  /** The call is executed, and the client throws an error. */
  Throws = "throws",
  /** The call is answered with 503 and not executed. */
  Overloaded = "overloaded",
}

type CallResult = neverthrow.Result<backends.ServiceAnswer, stepError.StepError>;

const KEY_HEADER = "idempotency-key";
const STATUS_PREFIX = "/status/";

/** Clients of a simulated plain service that executes every call, repeats included, and counts executions by key. */
export class ServiceClientsModel implements backends.ServiceClients {
  latencyMs = 5;
  fault = ServiceFault.None;
  /** Replaces parts of the answers. */
  answerWith: Partial<backends.ServiceAnswer> = {};
  /** Faults of single servers; they take precedence over `fault`. */
  readonly faultByServer = new Map<string, ServiceFault>();
  /** Latencies of single servers in milliseconds; they take precedence over `latencyMs`. */
  readonly latencyMsByServer = new Map<string, number>();
  /** Executions by idempotency key; those without a key are counted under the empty key. */
  readonly executionsByKey = new Map<string, number>();
  readonly attemptsByServer = new Map<string, number>();
  /** Number of sent requests that were marked as idempotent, which may use a pooled connection. */
  idempotentCount = 0;
  private executionsCount = 0;

  constructor(private readonly clock: clocks.Clock) {}

  /** Highest number of executions of any key; above one, a once-only call was repeated. */
  get maxExecutions(): number {
    return Math.max(0, ...this.executionsByKey.values());
  }

  /** Number of requests that reached any server, except status look-ups. */
  get attemptsCount(): number {
    return [...this.attemptsByServer.values()].reduce((sum, count) => sum + count, 0);
  }

  clientFor(backend: catalogue.ServiceBackend): backends.ServiceClient {
    return { name: backend.name, call: (request) => this.serve(backend.name, request) };
  }

  private async serve(name: string, request: backends.ServiceRequest): Promise<CallResult> {
    const fault = this.faultByServer.get(name) ?? this.fault;
    if (fault === ServiceFault.Unreachable)
      return neverthrow.err(createCallError(name, stepError.ExecutionState.NotRun));
    if (request.isIdempotent === true) this.idempotentCount += 1;
    if (request.path.startsWith(STATUS_PREFIX)) return this.lookUp(request.path);
    this.attemptsByServer.set(name, (this.attemptsByServer.get(name) ?? 0) + 1);
    await this.clock.sleep(this.latencyMsByServer.get(name) ?? this.latencyMs);
    if (fault === ServiceFault.Overloaded) return neverthrow.ok(createAnswer(503, "overloaded"));
    const answer = this.execute(request);
    if (fault === ServiceFault.LostAnswer)
      return neverthrow.err(createCallError(name, stepError.ExecutionState.Unknown));
    if (fault === ServiceFault.Throws) throw new Error("an injected error");
    if (fault === ServiceFault.Silent) return new Promise(() => undefined);
    return neverthrow.ok(answer);
  }

  private execute(request: backends.ServiceRequest): backends.ServiceAnswer {
    const key = request.headers[KEY_HEADER] ?? "";
    this.executionsCount += 1;
    this.executionsByKey.set(key, (this.executionsByKey.get(key) ?? 0) + 1);
    const answer = createAnswer(201, `execution ${key === "" ? this.executionsCount : key}`);
    return { ...answer, ...this.answerWith };
  }

  private async lookUp(path: string): Promise<CallResult> {
    await this.clock.sleep(this.latencyMs);
    const key = decodeURIComponent(path.slice(STATUS_PREFIX.length));
    const isKnown = this.executionsByKey.has(key);
    return neverthrow.ok(isKnown ? createAnswer(200, `execution ${key}`) : createAnswer(404, ""));
  }
}

function createAnswer(statusCode: number, text: string): backends.ServiceAnswer {
  return { statusCode, contentType: "text/plain", body: new TextEncoder().encode(text) };
}

function createCallError(peer: string, execution: stepError.ExecutionState): stepError.StepError {
  return new stepError.StepError(`the call to server ${peer} failed`, {
    code: stepError.ErrorCode.BackendFailed,
    step: "service.call",
    peer,
    execution,
  });
}
