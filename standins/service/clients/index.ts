import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";

/** How a service treats the next calls. */
export enum ServiceFault {
  None = "none",
  /** The request never leaves. */
  Unreachable = "unreachable",
  /** The call is executed, and its answer lost. */
  LostAnswer = "lost-answer",
  /** The call is executed, and the connection goes silent. */
  Silent = "silent",
  /** An answer that says the service is overloaded; nothing is executed. */
  Overloaded = "overloaded",
}

type CallResult = neverthrow.Result<backends.ServiceAnswer, stepError.StepError>;

const KEY_HEADER = "idempotency-key";
const STATUS_PREFIX = "/status/";

/** A plain service that executes whatever reaches it and counts that by key; it never refuses a repeat. */
export class ServiceClientsModel implements backends.ServiceClients {
  latencyMs = 5;
  fault = ServiceFault.None;
  /** Faults of single servers; these go first. */
  readonly faultByServer = new Map<string, ServiceFault>();
  readonly latencyByServer = new Map<string, number>();
  readonly executionsByKey = new Map<string, number>();
  readonly attemptsByServer = new Map<string, number>();
  /** Requests that were said to bear repetition, so that a pooled connection may carry them. */
  idempotentCount = 0;
  private executionsCount = 0;

  constructor(private readonly clock: clocks.Clock) {}

  /** Most executions of any key; more than one is what must never happen. */
  get maxExecutions(): number {
    return Math.max(0, ...this.executionsByKey.values());
  }

  get attemptsCount(): number {
    return [...this.attemptsByServer.values()].reduce((sum, count) => sum + count, 0);
  }

  clientFor(backend: catalogue.ServiceBackend): backends.ServiceClient {
    return { name: backend.name, call: (request) => this.serve(backend.name, request) };
  }

  private async serve(name: string, request: backends.ServiceRequest): Promise<CallResult> {
    const fault = this.faultByServer.get(name) ?? this.fault;
    if (fault === ServiceFault.Unreachable)
      return neverthrow.err(failure(name, stepError.ExecutionState.NotRun));
    if (request.isIdempotent === true) this.idempotentCount += 1;
    if (request.path.startsWith(STATUS_PREFIX)) return this.lookUp(request.path);
    this.attemptsByServer.set(name, (this.attemptsByServer.get(name) ?? 0) + 1);
    await this.clock.sleep(this.latencyByServer.get(name) ?? this.latencyMs);
    if (fault === ServiceFault.Overloaded) return neverthrow.ok(answerOf(503, "overloaded"));
    const answer = this.execute(request);
    if (fault === ServiceFault.LostAnswer)
      return neverthrow.err(failure(name, stepError.ExecutionState.Unknown));
    if (fault === ServiceFault.Silent) return new Promise(() => undefined);
    return neverthrow.ok(answer);
  }

  private execute(request: backends.ServiceRequest): backends.ServiceAnswer {
    const key = request.headers[KEY_HEADER] ?? "";
    this.executionsCount += 1;
    this.executionsByKey.set(key, (this.executionsByKey.get(key) ?? 0) + 1);
    return answerOf(201, `execution ${key === "" ? this.executionsCount : key}`);
  }

  private async lookUp(path: string): Promise<CallResult> {
    await this.clock.sleep(this.latencyMs);
    const key = decodeURIComponent(path.slice(STATUS_PREFIX.length));
    const isKnown = this.executionsByKey.has(key);
    return neverthrow.ok(isKnown ? answerOf(200, `execution ${key}`) : answerOf(404, ""));
  }
}

function answerOf(statusCode: number, text: string): backends.ServiceAnswer {
  return { statusCode, contentType: "text/plain", body: new TextEncoder().encode(text) };
}

function failure(peer: string, execution: stepError.ExecutionState): stepError.StepError {
  return new stepError.StepError("the call failed", {
    code: stepError.ErrorCode.BackendFailed,
    step: "service.call",
    peer,
    execution,
  });
}
