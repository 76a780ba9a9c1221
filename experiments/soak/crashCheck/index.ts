import * as crashCauses from "../crashCauses/index.js";

/** Crashes after which the VMs have to know their cause. */
const LEARNING_CRASHES_COUNT: Readonly<Record<crashCauses.CrashKind, number>> = {
  [crashCauses.CrashKind.PromptPart]: 5,
  [crashCauses.CrashKind.Request]: 3,
};

/** Time that the VMs have for it, and after a disturbance. */
const NOTICE_MS = 3_000;

/** Calls with a known cause that may reach servers. */
const MAX_LATE_ARRIVALS_COUNT = 3;

interface CauseState {
  readonly kind: crashCauses.CrashKind;
  readonly crashesAtMs: number[];
  lateArrivalsCount: number;
}

/** Checks that work which makes servers crash is kept from them once enough servers crashed. */
export class CrashCheck {
  private readonly causes = new Map<string, CauseState>();
  private readonly vmByCallId = new Map<string, number>();
  private readonly disturbedAtMsByVm = new Map<number, number>();

  /** Records that work makes servers crash from now on. */
  recordCause({ kind, name }: crashCauses.CrashCause): void {
    this.causes.set(name, { kind, crashesAtMs: [], lateArrivalsCount: 0 });
  }

  /** Records that a call with such work is made at a VM. */
  recordCall(id: string, vmIndex: number): void {
    this.vmByCallId.set(id, vmIndex);
  }

  /** Records a signal to a VM or its start. */
  recordVmDisturbance(vmIndex: number): void {
    this.disturbedAtMsByVm.set(vmIndex, Date.now());
  }

  /** Records that a server crashed under such work. */
  recordCrash(causeName: string): void {
    this.causes.get(causeName)?.crashesAtMs.push(Date.now());
  }

  /**
   * Records that a call with such work reached a server; returns what was violated, or null.
   *
   * @param storeDisturbedAtMs - when the store last did not serve all VMs
   */
  recordArrival(causeName: string, callId: string, storeDisturbedAtMs: number): string | null {
    const cause = this.causes.get(causeName);
    if (cause === undefined) return null;
    const learnedAtMs = cause.crashesAtMs[LEARNING_CRASHES_COUNT[cause.kind] - 1] ?? Infinity;
    const vmIndex = this.vmByCallId.get(callId) ?? -1;
    const vmDisturbedAtMs = this.disturbedAtMsByVm.get(vmIndex) ?? -Infinity;
    const boundAtMs = Math.max(learnedAtMs, vmDisturbedAtMs, storeDisturbedAtMs) + NOTICE_MS;
    if (Date.now() <= boundAtMs) return null;
    cause.lateArrivalsCount += 1;
    if (cause.lateArrivalsCount <= MAX_LATE_ARRIVALS_COUNT) return null;
    const { kind, crashesAtMs, lateArrivalsCount } = cause;
    return `${kind} ${causeName}: ${lateArrivalsCount} late calls, ${crashesAtMs.length} crashes`;
  }
}
