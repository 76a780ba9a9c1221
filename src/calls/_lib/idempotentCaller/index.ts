import type * as clocks from "../../../_lib/clock/index.js";
import type * as random from "../../../_lib/random/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import * as replication from "../../../replication/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as callErrors from "../callErrors/index.js";
import * as latencyWindow from "../latencyWindow/index.js";
import * as retryBudget from "../retryBudget/index.js";
import type * as serverPool from "../serverPool/index.js";

/** What the caller works with. */
export interface IdempotentDependencies {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly pool: serverPool.ServerPool;
}

/** What is learned of one service. */
interface ServiceRecord {
  readonly retries: retryBudget.RetryBudget;
  readonly hedges: retryBudget.RetryBudget;
  readonly latencies: latencyWindow.LatencyWindow;
}

/** One request on its way through its attempts. */
interface Session {
  readonly request: types.CallRequest;
  readonly deadlineAtMs: number;
  readonly service: ServiceRecord;
  readonly triedNames: Set<string>;
  retriesLeft: number;
  /** Whether an attempt was sent that may have been executed. */
  mayHaveRun: boolean;
}

/** When a second attempt is made beside the first, and what pays for it. */
interface SecondAttempt {
  readonly afterMs: number;
  readonly budget: retryBudget.RetryBudget;
  readonly counter: string;
}

/** Calls that may run more than once: retried, hedged, and never into a storm. */
export class IdempotentCaller {
  private readonly services = new Map<string, ServiceRecord>();

  constructor(private readonly dependencies: IdempotentDependencies) {}

  /** Calls until an answer comes, the deadline passes or the budget ends. */
  async call(request: types.CallRequest, deadlineAtMs: number): Promise<callErrors.CallResult> {
    const service = this.serviceOf(request.entry.service);
    service.retries.deposit();
    service.hedges.deposit();
    const retriesLeft = Math.min(
      request.retriesLeft ?? Infinity,
      constants.MAX_RETRIES_PER_REQUEST,
    );
    const triedNames = new Set<string>();
    const session = { request, deadlineAtMs, service, triedNames, retriesLeft, mayHaveRun: false };
    let backoffMs = constants.MIN_BACKOFF_MS;
    for (;;) {
      const result = await this.attempt(session);
      if (isAnswer(result) || !this.mayRetry(session, backoffMs)) return finish(session, result);
      this.trace(session, "call.retried", `after ${Math.round(backoffMs)} ms`);
      this.dependencies.metrics.increment("calls.retries", 1, { service: request.entry.service });
      await this.dependencies.clock.sleep(backoffMs);
      backoffMs = this.nextBackoff(backoffMs);
    }
  }

  private mayRetry(session: Session, backoffMs: number): boolean {
    const remainingMs = session.deadlineAtMs - this.dependencies.clock.nowMs();
    if (session.retriesLeft < 1 || remainingMs <= backoffMs) return false;
    if (!session.service.retries.tryTake()) {
      this.trace(session, "call.not_retried", "the service's retry budget is used up");
      return false;
    }
    session.retriesLeft -= 1;
    return true;
  }

  /** Decorrelated jitter: attempts of many callers spread out instead of coming in waves. */
  private nextBackoff(previousMs: number): number {
    const spanMs = previousMs * constants.BACKOFF_FACTOR - constants.MIN_BACKOFF_MS;
    const drawnMs = constants.MIN_BACKOFF_MS + this.dependencies.random.next() * spanMs;
    return Math.min(constants.MAX_BACKOFF_MS, drawnMs);
  }

  /** One attempt, with a second one beside it where the first is slower than most, or silent. */
  private async attempt(session: Session): Promise<callErrors.CallResult> {
    const { pool } = this.dependencies;
    const { service } = session.request.entry;
    const server = pool.take(service, session.triedNames) ?? pool.take(service, NONE);
    if (server === null) return callErrors.refuseWithoutBackend(service);
    const first = this.send(session, server);
    const { hedges, retries, latencies } = session.service;
    const hedgeAfterMs = (latencies.hedgeAfterMs() ?? Infinity) + 1;
    const hedge = { afterMs: hedgeAfterMs, budget: hedges, counter: "calls.hedges" };
    const retry = { afterMs: this.silenceMs(session), budget: retries, counter: "calls.retries" };
    const second =
      (await this.double(session, first, hedge)) ?? (await this.double(session, first, retry));
    return second === null ? first : firstAnswer(first, second.result);
  }

  /** Starts a second attempt at a sound server if the first has not ended within the time. */
  private async double(
    session: Session,
    first: Promise<callErrors.CallResult>,
    { afterMs, budget, counter }: SecondAttempt,
  ): Promise<{ readonly result: Promise<callErrors.CallResult> } | null> {
    const { clock, metrics, pool } = this.dependencies;
    if (afterMs === Infinity) return null;
    const progress = { isDone: false };
    const tracked = first.finally(() => (progress.isDone = true));
    await replication.waitAtMost(clock, afterMs, tracked);
    if (progress.isDone || session.retriesLeft < 1 || budget.tokens < 1) return null;
    const { service } = session.request.entry;
    const server = pool.take(service, session.triedNames, { isSpare: true });
    if (server === null || !budget.tryTake()) return null;
    session.retriesLeft -= 1;
    this.trace(session, "call.hedged", `no answer for ${Math.round(afterMs)} ms`);
    metrics.increment(counter, 1, { service });
    return { result: this.send(session, server) };
  }

  private async send(
    session: Session,
    server: serverPool.TakenServer,
  ): Promise<callErrors.CallResult> {
    const { clock, metrics } = this.dependencies;
    const { entry } = session.request;
    const limitMs = session.deadlineAtMs - clock.nowMs();
    session.triedNames.add(server.backend.name);
    metrics.increment("calls.attempts", 1, { service: entry.service });
    const startedAtMs = clock.nowMs();
    const silence = clock.schedule(this.silenceMs(session), () => server.report(false));
    const work = server.client.call(toServiceRequest(session.request, limitMs));
    const place = { step: "call.idempotent", peer: server.backend.name };
    const result = await replication.limitTime(clock, limitMs, work, place);
    silence[Symbol.dispose]();
    server.report(isAnswer(result));
    session.mayHaveRun ||= result.isOk() || isOpen(result.error);
    if (isAnswer(result)) session.service.latencies.record(clock.nowMs() - startedAtMs);
    return result;
  }

  /** After this time without an answer a server counts as silent; the attempt itself goes on. */
  private silenceMs(session: Session): number {
    const learnedMs = session.service.latencies.hedgeAfterMs();
    const remainingMs = session.deadlineAtMs - this.dependencies.clock.nowMs();
    return learnedMs === null
      ? remainingMs * constants.UNLEARNED_SILENCE_SHARE
      : Math.max(constants.MIN_SILENCE_MS, learnedMs * constants.SILENCE_FACTOR);
  }

  private serviceOf(name: string): ServiceRecord {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created = {
      retries: new retryBudget.RetryBudget(constants.RETRIES_PER_CALL, constants.MAX_SAVED_RETRIES),
      hedges: new retryBudget.RetryBudget(constants.HEDGES_PER_CALL, constants.MAX_SAVED_RETRIES),
      latencies: new latencyWindow.LatencyWindow(this.dependencies.clock),
    };
    this.services.set(name, created);
    return created;
  }

  private trace(session: Session, step: string, reason: string): void {
    this.dependencies.tracer.record(session.request.requestId, { step, reason });
  }
}

const NONE: ReadonlySet<string> = new Set();

function isAnswer(result: callErrors.CallResult): boolean {
  return result.isOk() && !constants.FAILURE_STATUS_CODES.has(result.value.statusCode);
}

/** The first of two attempts that brings an answer, or the last failure. */
async function firstAnswer(
  first: Promise<callErrors.CallResult>,
  second: Promise<callErrors.CallResult>,
): Promise<callErrors.CallResult> {
  const early = await Promise.race([first, second]);
  if (isAnswer(early)) return early;
  const [firstResult, secondResult] = await Promise.all([first, second]);
  return isAnswer(firstResult) ? firstResult : secondResult;
}

/** A failure says `not-run` only where no attempt may have been executed. */
function finish(session: Session, result: callErrors.CallResult): callErrors.CallResult {
  if (result.isOk() || !session.mayHaveRun || isOpen(result.error)) return result;
  return callErrors.leaveOpen(result.error.step, result.error.message, result.error);
}

function isOpen(error: stepError.StepError): boolean {
  return error.execution !== stepError.ExecutionState.NotRun;
}

function toServiceRequest(request: types.CallRequest, timeoutMs: number): backends.ServiceRequest {
  return {
    method: request.entry.method,
    path: request.entry.path,
    headers: {
      "content-type": request.contentType,
      [constants.RETRIES_LEFT_HEADER]: constants.NO_RETRIES,
    },
    body: request.body,
    timeoutMs,
    isIdempotent: true,
  };
}
