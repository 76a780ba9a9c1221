import type * as clocks from "../../../_lib/clock/index.js";
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
import type * as serverPool from "../serverPool/index.js";
import * as statusLookup from "../statusLookup/index.js";

/** What the caller works with. */
export interface OnceOnlyDependencies {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly metrics: telemetry.Metrics;
  readonly tracer: telemetry.Tracer;
  readonly fleetView: fleet.FleetView;
  readonly pool: serverPool.ServerPool;
  readonly ledger: keyLedger.KeyLedger;
}

/** One call with its key. */
interface KeyedCall extends keyIdentity.KeyIdentity {
  readonly request: types.CallRequest;
  readonly key: string;
  readonly deadlineAtMs: number;
  statusPauseMs: number;
}

type Step = (call: KeyedCall, key: types.KeyState) => Promise<callErrors.CallResult | null>;

/** Calls that must not run twice. The log's order decides who dispatches a key. */
export class OnceOnlyCaller {
  private attemptsCount = 0;
  private readonly steps: Readonly<Record<decideOnKey.KeyDecision, Step>> = {
    [decideOnKey.KeyDecision.Claim]: (call) => this.claimAndDispatch(call),
    [decideOnKey.KeyDecision.Replay]: (call, key) => Promise.resolve(this.replay(call, key)),
    [decideOnKey.KeyDecision.RefuseOtherBody]: () => Promise.resolve(refuseOtherBody()),
    [decideOnKey.KeyDecision.RefuseSpent]: () => Promise.resolve(refuseSpent()),
    [decideOnKey.KeyDecision.RefuseTooOld]: () => Promise.resolve(refuseTooOld()),
    [decideOnKey.KeyDecision.Wait]: (call, key) => this.waitForOther(call, key),
  };

  constructor(private readonly dependencies: OnceOnlyDependencies) {}

  /** A call whose caller gave no key: dispatched once by this process, never repeated, no log. */
  async callWithoutKey(
    request: types.CallRequest,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    const key = this.newAttempt();
    const dispatched = await dispatchOnce.dispatchOnce(
      this.dependencies,
      request,
      key,
      deadlineAtMs,
    );
    if (dispatched.kind !== dispatchOnce.DispatchKind.Open) return dispatched.result;
    const answer = await this.lookUpUntil(request, key, deadlineAtMs);
    return answer === null ? dispatched.result : callErrors.succeed(answer);
  }

  /** A call with a key: the first live attempt's answer, whichever VM runs it. */
  async callWithKey(
    request: types.CallRequest,
    key: string,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    const identity = keyIdentity.identifyKey(request, key);
    const statusPauseMs = constants.MIN_STATUS_RETRY_MS;
    const call: KeyedCall = { ...identity, request, key, deadlineAtMs, statusPauseMs };
    for (;;) {
      if (!this.dependencies.ledger.isUsable) {
        const refusal = await this.waitUntilUsable(call);
        if (refusal !== null) return refusal;
        continue;
      }
      const state = this.dependencies.ledger.find(call.keyId);
      const isTooOld = this.dependencies.ledger.isTooOld(call.keyTimeMs);
      const decision = decideOnKey.decideOnKey(state, call.bodyHash, isTooOld);
      const result = await this.steps[decision](call, state);
      if (result !== null) return result;
    }
  }

  /** The keys cannot be judged here yet: nothing was appended, so giving up is `not-run`. */
  private async waitUntilUsable(call: KeyedCall): Promise<callErrors.CallResult | null> {
    const isPatient = call.request.entry.logOutage === catalogue.LogOutagePolicy.Wait;
    if (!isPatient || this.remainingMs(call) <= 0) return refuseLogDown();
    const pauseMs = Math.min(this.remainingMs(call), constants.MAX_LOG_RETRY_MS);
    await this.dependencies.ledger.watch.wait(call.keyId, pauseMs);
    return null;
  }

  private async claimAndDispatch(call: KeyedCall): Promise<callErrors.CallResult | null> {
    const { ledger, fleetView } = this.dependencies;
    const { keyId, bodyHash, keyTimeMs, deadlineAtMs } = call;
    if (this.remainingMs(call) <= 0) return callErrors.refuseLate();
    const intent: types.IntentRecord = {
      type: "intent",
      keyId,
      attempt: this.newAttempt(),
      bodyHash,
      vm: fleetView.self.name,
      keyTimeMs,
      retentionMs: call.request.entry.keyRetentionMs,
    };
    const waitsForLog = call.request.entry.logOutage === catalogue.LogOutagePolicy.Wait;
    const verdict = await ledger.claim(intent, { deadlineAtMs, waitsForLog });
    this.dependencies.metrics.increment("calls.claims", 1, { verdict });
    this.trace(call, `call.claim_${verdict}`, `attempt ${intent.attempt}`);
    if (verdict === keyLedger.ClaimVerdict.Live) return this.dispatch(call, intent);
    return verdict === keyLedger.ClaimVerdict.Lost ? null : refuseLogDown();
  }

  /** The only place that dispatches a key, once, and only for the live attempt. */
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
      : await this.lookUpUntil(call.request, call.key, call.deadlineAtMs);
    if (answer === null) {
      ledger.leaveOpen(intent);
      return dispatched.result;
    }
    ledger.conclude({ type: "outcome", keyId, attempt, answer: toStored(answer) });
    return callErrors.succeed(answer);
  }

  private replay(call: KeyedCall, key: types.KeyState): callErrors.CallResult {
    this.dependencies.metrics.increment("calls.replayed");
    this.trace(call, "call.replayed", `answer of attempt ${key.attempt}`);
    return key.answer === null ? refuseSpent() : callErrors.succeed(fromStored(key.answer));
  }

  /** Waits for the attempt that holds the key; asks the service where that attempt is lost. */
  private async waitForOther(
    call: KeyedCall,
    key: types.KeyState,
  ): Promise<callErrors.CallResult | null> {
    const remainingMs = this.remainingMs(call);
    if (remainingMs <= 0) return refuseOpen(key);
    const { ledger } = this.dependencies;
    if (!this.isLookupDue(call, key)) {
      await ledger.watch.wait(call.keyId, Math.min(remainingMs, constants.MAX_STATUS_RETRY_MS));
      return null;
    }
    const answer = await statusLookup.lookUpStatus(
      this.dependencies,
      call.request,
      call.key,
      remainingMs,
    );
    if (answer === null) {
      await ledger.watch.wait(call.keyId, Math.min(this.remainingMs(call), call.statusPauseMs));
      call.statusPauseMs = Math.min(2 * call.statusPauseMs, constants.MAX_STATUS_RETRY_MS);
      return null;
    }
    this.trace(call, "call.settled", "by the service's status lookup");
    const { keyId } = call;
    ledger.conclude({ type: "outcome", keyId, attempt: key.attempt, answer: toStored(answer) });
    return callErrors.succeed(answer);
  }

  /** Only an attempt whose process has given up, or whose VM is gone, is looked up. */
  private isLookupDue(call: KeyedCall, key: types.KeyState): boolean {
    if (call.request.entry.statusPath === undefined) return false;
    if (key.phase === types.KeyPhase.Unknown) return true;
    const holder = this.dependencies.fleetView.members().find(({ name }) => name === key.vm);
    return holder === undefined || holder.state === fleet.MemberState.Dead;
  }

  private async lookUpUntil(
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

  /** Unique among all processes: equal seeds at two VMs, or at one VM's restart, do not repeat it. */
  private newAttempt(): string {
    const { clock, random: source, fleetView } = this.dependencies;
    const draw = Math.floor(source.next() * Number.MAX_SAFE_INTEGER).toString(36);
    const startedAt = clock.wallTimeMs().toString(36);
    this.attemptsCount += 1;
    return `${fleetView.self.name}-${startedAt}-${this.attemptsCount.toString(36)}-${draw}`;
  }

  private remainingMs(call: KeyedCall): number {
    return call.deadlineAtMs - this.dependencies.clock.nowMs();
  }

  private trace(call: KeyedCall, step: string, reason: string): void {
    this.dependencies.tracer.record(call.request.requestId, { step, reason });
  }
}

function toStored(answer: backends.ServiceAnswer): types.StoredAnswer | null {
  if (answer.body.length > constants.MAX_KEPT_ANSWER_BYTES) return null;
  const { statusCode, contentType } = answer;
  return { statusCode, contentType, body: Buffer.from(answer.body).toString("base64") };
}

function fromStored(answer: types.StoredAnswer): backends.ServiceAnswer {
  const { statusCode, contentType } = answer;
  return { statusCode, contentType, body: new Uint8Array(Buffer.from(answer.body, "base64")) };
}

function refuseOtherBody(): callErrors.CallResult {
  const message = "the idempotency key was used with another body";
  return callErrors.refuse(stepError.ErrorCode.Conflict, "call.key", message);
}

function refuseTooOld(): callErrors.CallResult {
  const message = "the idempotency key is older than the window for which keys are remembered";
  return callErrors.refuse(stepError.ErrorCode.Conflict, "call.key", message);
}

function refuseSpent(): callErrors.CallResult {
  return callErrors.fail({
    code: stepError.ErrorCode.Conflict,
    step: "call.key",
    message: "the call with this key was run; its answer is not kept",
    execution: stepError.ExecutionState.Ran,
  });
}

function refuseOpen(key: types.KeyState): callErrors.CallResult {
  const message = `an earlier call with this key at ${key.vm} is ${key.phase}`;
  return callErrors.leaveOpen("call.key", message);
}

function refuseLogDown(): callErrors.CallResult {
  const message = "the log that keeps once-only calls cannot be reached";
  const retryAfterMs = constants.LOG_OUTAGE_RETRY_AFTER_MS;
  const code = stepError.ErrorCode.PlatformUnavailable;
  return callErrors.refuse(code, "call.claim", message, { peer: "log", retryAfterMs });
}
