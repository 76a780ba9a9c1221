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

/** Dependencies of `IdempotentCaller`. */
export interface IdempotentDependencies {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly pool: serverPool.ServerPool;
}

/** Retry budget, hedge budget and latencies of one service. */
interface ServiceState {
  readonly retries: retryBudget.RetryBudget;
  readonly hedges: retryBudget.RetryBudget;
  readonly latencies: latencyWindow.LatencyWindow;
}

/** State of one request over its attempts. */
interface Session {
  readonly request: types.CallRequest;
  readonly deadlineAtMs: number;
  readonly service: ServiceState;
  readonly triedNames: Set<string>;
  retriesLeft: number;
  /** Whether any attempt may have been executed. */
  mayHaveRun: boolean;
}

/** When a second attempt is started in parallel to the first, and the budget that it takes from. */
interface SecondAttempt {
  readonly afterMs: number;
  readonly budget: retryBudget.RetryBudget;
  /** Name of the metric that counts these attempts. */
  readonly counter: string;
}

/** Serves calls that may run more than once: retries and hedges them within budgets. */
export class IdempotentCaller {
  private readonly services = new Map<string, ServiceState>();

  constructor(private readonly dependencies: IdempotentDependencies) {}

  /** Makes attempts until one is answered, the deadline is near or the retries are used up. */
  async call(request: types.CallRequest, deadlineAtMs: number): Promise<callErrors.CallResult> {
    const service = this.serviceStateOf(request.entry.service);
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
      const result = await this.runAttempt(session);
      if (isAnswer(result) || !this.tryTakeRetry(session, backoffMs))
        return toFinalResult(session, result);
      this.trace(session, "call.retried", `backoff of ${Math.round(backoffMs)} ms`);
      this.dependencies.metrics.increment("calls.retries", 1, { service: request.entry.service });
      await this.dependencies.clock.sleep(backoffMs);
      backoffMs = this.nextBackoffMs(backoffMs);
    }
  }

  /**
   * Takes a retry from the request's limit and the service's budget; false if none is available.
   */
  private tryTakeRetry(session: Session, backoffMs: number): boolean {
    const remainingMs = session.deadlineAtMs - this.dependencies.clock.nowMs();
    if (session.retriesLeft < 1 || remainingMs <= backoffMs) return false;
    if (!session.service.retries.tryTake()) {
      this.trace(
        session,
        "call.not_retried",
        `the retry budget of service ${session.request.entry.service} is used up`,
      );
      return false;
    }
    session.retriesLeft -= 1;
    return true;
  }

  /**
   * Draws the next backoff with decorrelated jitter, so that retries of many callers spread out.
   */
  private nextBackoffMs(previousMs: number): number {
    const spanMs = previousMs * constants.BACKOFF_FACTOR - constants.MIN_BACKOFF_MS;
    const drawnMs = constants.MIN_BACKOFF_MS + this.dependencies.random.next() * spanMs;
    return Math.min(constants.MAX_BACKOFF_MS, drawnMs);
  }

  /** Makes one attempt, with a second one in parallel if the first is slow or silent. */
  private async runAttempt(session: Session): Promise<callErrors.CallResult> {
    const { pool } = this.dependencies;
    const { service } = session.request.entry;
    const server = pool.acquire(service, session.triedNames) ?? pool.acquire(service, NO_SERVERS);
    if (server === null) return callErrors.refuseWithoutServer(service);
    const first = this.send(session, server);
    const { hedges, retries, latencies } = session.service;
    const hedgeDelayMs = (latencies.hedgeDelayMs() ?? Infinity) + 1;
    const hedge = { afterMs: hedgeDelayMs, budget: hedges, counter: "calls.hedges" };
    const retry = {
      afterMs: this.silenceTimeoutMs(session),
      budget: retries,
      counter: "calls.retries",
    };
    const second =
      (await this.startSecondAttempt(session, first, hedge)) ??
      (await this.startSecondAttempt(session, first, retry));
    return second === null ? first : selectAnswer(first, second.result);
  }

  /** Starts a second attempt at a usable server if the first has not ended after `afterMs`. */
  private async startSecondAttempt(
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
    const server = pool.acquire(service, session.triedNames, { isSecondAttempt: true });
    if (server === null || !budget.tryTake()) return null;
    session.retriesLeft -= 1;
    this.trace(session, "call.hedged", `no answer for ${Math.round(afterMs)} ms`);
    metrics.increment(counter, 1, { service });
    return { result: this.send(session, server) };
  }

  private async send(
    session: Session,
    server: serverPool.AcquiredServer,
  ): Promise<callErrors.CallResult> {
    const { clock, metrics } = this.dependencies;
    const { entry } = session.request;
    const timeoutMs = session.deadlineAtMs - clock.nowMs();
    session.triedNames.add(server.backend.name);
    metrics.increment("calls.attempts", 1, { service: entry.service });
    const startedAtMs = clock.nowMs();
    const silenceTimer = clock.schedule(this.silenceTimeoutMs(session), () =>
      server.recordResult(false),
    );
    const work = server.client.call(toServiceRequest(session.request, timeoutMs));
    const limitedStep = { step: "call.idempotent", peer: server.backend.name };
    const result = await replication.limitTime(clock, timeoutMs, work, limitedStep);
    silenceTimer[Symbol.dispose]();
    server.recordResult(isAnswer(result));
    session.mayHaveRun ||= result.isOk() || isPossiblyRun(result.error);
    if (isAnswer(result)) session.service.latencies.record(clock.nowMs() - startedAtMs);
    return result;
  }

  /**
   * Time without an answer after which a server is reported as failed and a second attempt may
   * start. The first attempt continues.
   */
  private silenceTimeoutMs(session: Session): number {
    const hedgeDelayMs = session.service.latencies.hedgeDelayMs();
    const remainingMs = session.deadlineAtMs - this.dependencies.clock.nowMs();
    return hedgeDelayMs === null
      ? remainingMs * constants.DEFAULT_SILENCE_TIMEOUT_RATIO
      : Math.max(constants.MIN_SILENCE_TIMEOUT_MS, hedgeDelayMs * constants.SILENCE_TIMEOUT_FACTOR);
  }

  private serviceStateOf(name: string): ServiceState {
    const known = this.services.get(name);
    if (known !== undefined) return known;
    const created = {
      retries: new retryBudget.RetryBudget(
        constants.RETRIES_PER_CALL,
        constants.MAX_RETRY_BUDGET_TOKENS,
      ),
      hedges: new retryBudget.RetryBudget(
        constants.HEDGES_PER_CALL,
        constants.MAX_RETRY_BUDGET_TOKENS,
      ),
      latencies: new latencyWindow.LatencyWindow(this.dependencies.clock),
    };
    this.services.set(name, created);
    return created;
  }

  private trace(session: Session, step: string, reason: string): void {
    this.dependencies.tracer.record(session.request.requestId, { step, reason });
  }
}

const NO_SERVERS: ReadonlySet<string> = new Set();

function isAnswer(result: callErrors.CallResult): boolean {
  return result.isOk() && !constants.FAILURE_STATUS_CODES.has(result.value.statusCode);
}

/** Returns the first answer of two attempts; if both fail, the failure of the second one. */
async function selectAnswer(
  first: Promise<callErrors.CallResult>,
  second: Promise<callErrors.CallResult>,
): Promise<callErrors.CallResult> {
  const early = await Promise.race([first, second]);
  if (isAnswer(early)) return early;
  const [firstResult, secondResult] = await Promise.all([first, second]);
  return isAnswer(firstResult) ? firstResult : secondResult;
}

/** Returns the result of a request: a failure is `not-run` only if no attempt may have run. */
function toFinalResult(session: Session, result: callErrors.CallResult): callErrors.CallResult {
  if (result.isOk() || !session.mayHaveRun || isPossiblyRun(result.error)) return result;
  return callErrors.failWithUnknownOutcome(result.error.step, result.error.message, result.error);
}

function isPossiblyRun(error: stepError.StepError): boolean {
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
