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

/** State of one request across its attempts. */
interface RequestState {
  readonly request: types.CallRequest;
  readonly deadlineAtMs: number;
  readonly service: ServiceState;
  readonly triedNames: Set<string>;
  retriesLeft: number;
  /** Whether any attempt may have been executed. */
  mayHaveRun: boolean;
}

/** Delay after which a second attempt starts in parallel to the first, and the budget it uses. */
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

  /** Makes attempts until one is answered, or no time, retry or budget is left for another one. */
  async call(request: types.CallRequest, deadlineAtMs: number): Promise<callErrors.CallResult> {
    const service = this.getOrCreateServiceState(request.entry.service);
    service.retries.deposit();
    service.hedges.deposit();
    const retriesLeft = Math.min(
      request.retriesLeft ?? Infinity,
      constants.MAX_RETRIES_PER_REQUEST,
    );
    const triedNames = new Set<string>();
    const state = { request, deadlineAtMs, service, triedNames, retriesLeft, mayHaveRun: false };
    let backoffMs = constants.MIN_BACKOFF_MS;
    for (;;) {
      const result = await this.runAttempt(state);
      if (isAnswer(result) || !this.tryTakeRetry(state, backoffMs))
        return toFinalResult(state, result);
      this.trace(state, "call.retried", `backoff of ${Math.round(backoffMs)} ms`);
      this.dependencies.metrics.increment("calls.retries", 1, { service: request.entry.service });
      await this.dependencies.clock.sleep(backoffMs);
      backoffMs = this.drawBackoffMs(backoffMs);
    }
  }

  /**
   * Takes a retry from the request's limit and the service's budget; returns false if none is left,
   * or if the deadline passes during the backoff.
   */
  private tryTakeRetry(state: RequestState, backoffMs: number): boolean {
    const remainingMs = state.deadlineAtMs - this.dependencies.clock.nowMs();
    if (state.retriesLeft < 1 || remainingMs <= backoffMs) return false;
    if (!state.service.retries.tryTake()) {
      this.trace(
        state,
        "call.not_retried",
        `the retry budget of service ${state.request.entry.service} is used up`,
      );
      return false;
    }
    state.retriesLeft -= 1;
    return true;
  }

  /**
   * Draws the next backoff with decorrelated jitter, so that retries of many callers spread out.
   */
  private drawBackoffMs(previousMs: number): number {
    const spanMs = previousMs * constants.BACKOFF_FACTOR - constants.MIN_BACKOFF_MS;
    const drawnMs = constants.MIN_BACKOFF_MS + this.dependencies.random.next() * spanMs;
    return Math.min(constants.MAX_BACKOFF_MS, drawnMs);
  }

  /** Makes one attempt, with a second one in parallel if the first is slow or silent. */
  private async runAttempt(state: RequestState): Promise<callErrors.CallResult> {
    const { pool } = this.dependencies;
    const { service } = state.request.entry;
    const server = pool.acquire(service, state.triedNames) ?? pool.acquire(service, NO_SERVERS);
    if (server === null) return callErrors.refuseWithoutServer(service);
    const first = this.send(state, server);
    const { hedges, retries, latencies } = state.service;
    const hedgeDelayMs = (latencies.computeHedgeDelayMs() ?? Infinity) + 1;
    const hedge = { afterMs: hedgeDelayMs, budget: hedges, counter: "calls.hedges" };
    const retry = {
      afterMs: this.computeSilenceTimeoutMs(state),
      budget: retries,
      counter: "calls.retries",
    };
    const second =
      (await this.startSecondAttempt(state, first, hedge)) ??
      (await this.startSecondAttempt(state, first, retry));
    return second === null ? first : selectAnswer(first, second.result);
  }

  /**
   * Starts a second attempt at another usable server if the first has not ended after `afterMs`;
   * returns null if none was started.
   */
  private async startSecondAttempt(
    state: RequestState,
    first: Promise<callErrors.CallResult>,
    { afterMs, budget, counter }: SecondAttempt,
  ): Promise<{ readonly result: Promise<callErrors.CallResult> } | null> {
    const { clock, metrics, pool } = this.dependencies;
    if (afterMs === Infinity) return null;
    const progress = { isDone: false };
    const tracked = first.finally(() => (progress.isDone = true));
    await replication.waitAtMost(clock, afterMs, tracked);
    if (progress.isDone || state.retriesLeft < 1 || budget.tokens < 1) return null;
    const { service } = state.request.entry;
    const server = pool.acquire(service, state.triedNames, { isSecondAttempt: true });
    if (server === null || !budget.tryTake()) return null;
    state.retriesLeft -= 1;
    this.trace(state, "call.hedged", `no answer for ${Math.round(afterMs)} ms`);
    metrics.increment(counter, 1, { service });
    return { result: this.send(state, server) };
  }

  private async send(
    state: RequestState,
    server: serverPool.AcquiredServer,
  ): Promise<callErrors.CallResult> {
    const { clock, metrics } = this.dependencies;
    const { entry } = state.request;
    const timeoutMs = state.deadlineAtMs - clock.nowMs();
    state.triedNames.add(server.backend.name);
    metrics.increment("calls.attempts", 1, { service: entry.service });
    const startedAtMs = clock.nowMs();
    const silenceTimer = clock.schedule(this.computeSilenceTimeoutMs(state), () =>
      server.recordResult(false),
    );
    const work = server.client.call(toServiceRequest(state.request, timeoutMs));
    const limitedStep = { step: "call.idempotent", peer: server.backend.name };
    const result = await replication.limitTime(clock, timeoutMs, work, limitedStep);
    silenceTimer[Symbol.dispose]();
    server.recordResult(isAnswer(result));
    state.mayHaveRun ||= result.isOk() || isPossiblyRun(result.error);
    if (isAnswer(result)) state.service.latencies.record(clock.nowMs() - startedAtMs);
    return result;
  }

  /**
   * Time without an answer after which a server is reported as failed and a second attempt may
   * start. The first attempt continues.
   */
  private computeSilenceTimeoutMs(state: RequestState): number {
    const hedgeDelayMs = state.service.latencies.computeHedgeDelayMs();
    const remainingMs = state.deadlineAtMs - this.dependencies.clock.nowMs();
    return hedgeDelayMs === null
      ? remainingMs * constants.DEFAULT_SILENCE_TIMEOUT_RATIO
      : Math.max(constants.MIN_SILENCE_TIMEOUT_MS, hedgeDelayMs * constants.SILENCE_TIMEOUT_FACTOR);
  }

  private getOrCreateServiceState(name: string): ServiceState {
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

  private trace(state: RequestState, step: string, reason: string): void {
    this.dependencies.tracer.record(state.request.requestId, { step, reason });
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
function toFinalResult(state: RequestState, result: callErrors.CallResult): callErrors.CallResult {
  if (result.isOk() || !state.mayHaveRun || isPossiblyRun(result.error)) return result;
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
