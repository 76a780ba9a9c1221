import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import type * as random from "../../../_lib/random/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import type * as backends from "../../../backends/types.js";
import * as catalogue from "../../../catalogue/types.js";
import * as fleet from "../../../fleet/types.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import * as decideOnKey from "../../decideOnKey/index.js";
import * as types from "../../types.js";
import * as callErrors from "../callErrors/index.js";
import * as dispatchOnce from "../dispatchOnce/index.js";
import * as keyIdentity from "../keyIdentity/index.js";
import * as keyLedger from "../keyLedger/index.js";
import * as keyRefusals from "../keyRefusals/index.js";
import type * as serverPool from "../serverPool/index.js";
import * as statusLookup from "../statusLookup/index.js";
import * as storedAnswers from "../storedAnswer/index.js";

/** Dependencies of `OnceOnlyCaller`. */
export interface OnceOnlyDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
  readonly random: random.RandomSource;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly fleetView: fleet.FleetView;
  readonly pool: serverPool.ServerPool;
  readonly ledger: keyLedger.KeyLedger;
}

/** A call with its idempotency key and the key's identity. */
interface KeyedCall extends keyIdentity.KeyIdentity {
  readonly request: types.CallRequest;
  readonly key: string;
  readonly deadlineAtMs: number;
  /** Delay before the next status lookup; doubles with each lookup without result. */
  statusRetryDelayMs: number;
}

/** Carries out a decision; returns null if the call must decide again on the key's new state. */
type Action = (call: KeyedCall, key: types.KeyState) => Promise<callErrors.CallResult | null>;

/**
 * Serves calls that must not run twice. The order of the log decides which attempt is dispatched.
 */
export class OnceOnlyCaller {
  private attemptsCount = 0;
  private readonly actions: Readonly<Record<decideOnKey.KeyDecision, Action>> = {
    [decideOnKey.KeyDecision.Claim]: (call) => this.claimAndDispatch(call),
    [decideOnKey.KeyDecision.Replay]: (call, key) => Promise.resolve(this.replay(call, key)),
    [decideOnKey.KeyDecision.RefuseOtherBody]: () => Promise.resolve(keyRefusals.refuseOtherBody()),
    [decideOnKey.KeyDecision.RefuseSpent]: () => Promise.resolve(keyRefusals.refuseSpent()),
    [decideOnKey.KeyDecision.RefuseTooOld]: () => Promise.resolve(keyRefusals.refuseTooOld()),
    [decideOnKey.KeyDecision.Wait]: (call, key) => this.waitForHolder(call, key),
  };

  constructor(private readonly dependencies: OnceOnlyDependencies) {}

  /** Serves a call without a key: dispatched once by this process, without records in the log. */
  async callWithoutKey(
    request: types.CallRequest,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    const key = this.createAttemptId();
    const dispatched = await dispatchOnce.dispatchOnce(
      this.dependencies,
      request,
      key,
      deadlineAtMs,
    );
    if (dispatched.kind !== dispatchOnce.DispatchKind.OutcomeUnknown) return dispatched.result;
    const answer = await this.lookUpUntilDeadline(request, key, deadlineAtMs);
    return answer === null ? dispatched.result : callErrors.succeed(answer);
  }

  /** Serves a call with a key: claims the key, or returns the answer of its holder. */
  async callWithKey(
    request: types.CallRequest,
    key: string,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    const identity = keyIdentity.identifyKey(request, key);
    const statusRetryDelayMs = constants.MIN_STATUS_RETRY_MS;
    const call: KeyedCall = { ...identity, request, key, deadlineAtMs, statusRetryDelayMs };
    for (;;) {
      if (!this.dependencies.ledger.canDecide) {
        const refusal = await this.waitUntilDecidable(call);
        if (refusal !== null) return refusal;
        continue;
      }
      const state = this.dependencies.ledger.findKeyState(call.keyId);
      const isTooOld = this.dependencies.ledger.isKeyTooOld(call.keyTimeMs);
      const decision = decideOnKey.decideOnKey(state, call.bodyHash, isTooOld);
      const result = await this.actions[decision](call, state);
      if (result !== null) return result;
    }
  }

  /**
   * Waits for a limited time for the local state to catch up with the log; returns null if the
   * caller should check again. Nothing has been appended for this call, so giving up is reported as
   * `not-run`.
   */
  private async waitUntilDecidable(call: KeyedCall): Promise<callErrors.CallResult | null> {
    const canWaitForLog = call.request.entry.logOutage === catalogue.LogOutagePolicy.Wait;
    if (!canWaitForLog || this.computeRemainingMs(call) <= 0) return keyRefusals.refuseLogDown();
    const pauseMs = Math.min(this.computeRemainingMs(call), constants.MAX_LOG_RETRY_MS);
    await this.dependencies.ledger.changeNotifier.waitForChange(call.keyId, pauseMs);
    return null;
  }

  private async claimAndDispatch(call: KeyedCall): Promise<callErrors.CallResult | null> {
    const { ledger, fleetView } = this.dependencies;
    const { keyId, bodyHash, keyTimeMs, deadlineAtMs } = call;
    if (this.computeRemainingMs(call) <= 0) return callErrors.refuseAfterDeadline();
    const intent: types.IntentRecord = {
      type: "intent",
      keyId,
      attempt: this.createAttemptId(),
      bodyHash,
      vm: fleetView.self.name,
      keyTimeMs,
      retentionMs: call.request.entry.keyRetentionMs,
    };
    const canWaitForLog = call.request.entry.logOutage === catalogue.LogOutagePolicy.Wait;
    let mayBeSent = false;
    try {
      const claimResult = await ledger.claim(intent, { deadlineAtMs, canWaitForLog });
      this.dependencies.metrics.increment("calls.claims", 1, { verdict: claimResult });
      this.trace(call, `call.claim_${claimResult}`, `attempt ${intent.attempt}`);
      if (claimResult === keyLedger.ClaimResult.Live) {
        mayBeSent = true;
        return await this.dispatch(call, intent);
      }
      return claimResult === keyLedger.ClaimResult.Lost ? null : keyRefusals.refuseLogDown();
    } catch (error) {
      return this.endByException(intent, mayBeSent, error);
    }
  }

  /** Ends an attempt that threw an error, so that its key does not stay held. */
  private endByException(
    intent: types.IntentRecord,
    mayBeSent: boolean,
    error: unknown,
  ): callErrors.CallResult {
    const { ledger, logger, metrics } = this.dependencies;
    // Recorded first: an error in what follows must not leave the key held.
    if (mayBeSent) ledger.recordUnknown(intent);
    else ledger.release(intent);
    metrics.increment("calls.ended_by_exception");
    const { keyId, attempt } = intent;
    logger.error({ keyId, attempt, mayBeSent, err: error }, "a once-only call threw an error");
    return mayBeSent
      ? callErrors.failWithUnknownOutcome("call.dispatch", "the call ended by an error", error)
      : callErrors.refuse(stepError.ErrorCode.Internal, "call.claim", "the call ended by an error");
  }

  /**
   * Dispatches a call with a key. No other method does so: it is called once per attempt, and only
   * for the attempt that holds the key.
   */
  private async dispatch(
    call: KeyedCall,
    intent: types.IntentRecord,
  ): Promise<callErrors.CallResult> {
    const { ledger } = this.dependencies;
    const { keyId, attempt } = intent;
    const dispatched = await dispatchOnce.dispatchOnce(
      this.dependencies,
      call.request,
      call.key,
      call.deadlineAtMs,
    );
    this.trace(call, `call.dispatch_${dispatched.kind}`, `attempt ${attempt}`);
    if (dispatched.kind === dispatchOnce.DispatchKind.NotSent) {
      ledger.release(intent);
      return dispatched.result;
    }
    const answer = dispatched.result.isOk()
      ? dispatched.result.value
      : await this.lookUpUntilDeadline(call.request, call.key, call.deadlineAtMs);
    if (answer === null) {
      ledger.recordUnknown(intent);
      return dispatched.result;
    }
    ledger.recordOutcome({
      type: "outcome",
      keyId,
      attempt,
      answer: storedAnswers.toStoredAnswer(answer),
    });
    return callErrors.succeed(answer);
  }

  private replay(call: KeyedCall, key: types.KeyState): callErrors.CallResult {
    this.dependencies.metrics.increment("calls.replayed");
    this.trace(call, "call.replayed", `answer of attempt ${key.attempt}`);
    return key.answer === null
      ? keyRefusals.refuseSpent()
      : callErrors.succeed(storedAnswers.toServiceAnswer(key.answer));
  }

  /**
   * Waits for the attempt that holds the key; looks up the status at the service if the attempt's
   * process cannot report the outcome. Returns null if the key's state must be checked again.
   */
  private async waitForHolder(
    call: KeyedCall,
    key: types.KeyState,
  ): Promise<callErrors.CallResult | null> {
    const remainingMs = this.computeRemainingMs(call);
    if (remainingMs <= 0) return keyRefusals.failWithUnresolvedKey(key);
    const { ledger } = this.dependencies;
    if (!this.isLookupDue(call, key)) {
      await ledger.changeNotifier.waitForChange(
        call.keyId,
        Math.min(remainingMs, constants.MAX_STATUS_RETRY_MS),
      );
      return null;
    }
    const answer = await statusLookup.lookUpStatus(
      this.dependencies,
      call.request,
      call.key,
      remainingMs,
    );
    if (answer === null) {
      await ledger.changeNotifier.waitForChange(
        call.keyId,
        Math.min(this.computeRemainingMs(call), call.statusRetryDelayMs),
      );
      call.statusRetryDelayMs = Math.min(
        2 * call.statusRetryDelayMs,
        constants.MAX_STATUS_RETRY_MS,
      );
      return null;
    }
    this.trace(call, "call.settled", `attempt ${key.attempt}, by the service's status lookup`);
    const { keyId } = call;
    ledger.recordOutcome({
      type: "outcome",
      keyId,
      attempt: key.attempt,
      answer: storedAnswers.toStoredAnswer(answer),
    });
    return callErrors.succeed(answer);
  }

  /** Whether a lookup is due: the outcome is unknown, or the attempt's VM is dead or unknown. */
  private isLookupDue(call: KeyedCall, key: types.KeyState): boolean {
    if (call.request.entry.statusPath === undefined) return false;
    if (key.phase === types.KeyPhase.Unknown) return true;
    const holder = this.dependencies.fleetView.members().find(({ name }) => name === key.vm);
    return holder === undefined || holder.state === fleet.MemberState.Dead;
  }

  private async lookUpUntilDeadline(
    request: types.CallRequest,
    key: string,
    deadlineAtMs: number,
  ): Promise<backends.ServiceAnswer | null> {
    if (request.entry.statusPath === undefined) return null;
    const { clock } = this.dependencies;
    let pauseMs = constants.MIN_STATUS_RETRY_MS;
    for (;;) {
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (remainingMs <= 0) return null;
      const answer = await statusLookup.lookUpStatus(this.dependencies, request, key, remainingMs);
      if (answer !== null) return answer;
      await clock.sleep(Math.min(pauseMs, Math.max(0, deadlineAtMs - clock.nowMs())));
      pauseMs = Math.min(2 * pauseMs, constants.MAX_STATUS_RETRY_MS);
    }
  }

  /** Creates an id that is unique among all processes, even with equal random seeds. */
  private createAttemptId(): string {
    const { clock, random: randomSource, fleetView } = this.dependencies;
    const randomPart = Math.floor(randomSource.next() * Number.MAX_SAFE_INTEGER).toString(36);
    const createdAt = clock.wallTimeMs().toString(36);
    this.attemptsCount += 1;
    return `${fleetView.self.name}-${createdAt}-${this.attemptsCount.toString(36)}-${randomPart}`;
  }

  private computeRemainingMs(call: KeyedCall): number {
    return call.deadlineAtMs - this.dependencies.clock.nowMs();
  }

  private trace(call: KeyedCall, step: string, reason: string): void {
    this.dependencies.tracer.record(call.request.requestId, { step, reason });
  }
}
