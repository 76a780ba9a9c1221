/** Time from an evacuation's confirmation to the last request that reaches the data centre. */
const EVACUATE_MS = 5_000;

/** Time without a signal to a VM after which it has to know what a store restored since then lacks. */
const STABILITY_MS = 4_000;

/** Checks that servers of an evacuated data centre get nothing. */
export class EvacuationCheck {
  private readonly evacuatedAtMs = new Map<string, number>();
  private vmDisturbedAtMs = -Infinity;
  private rewrittenAtMs = -Infinity;

  /** Records an order of the operators that the store has confirmed. */
  recordOrder(dataCentre: string, isEvacuated: boolean): void {
    if (isEvacuated) this.evacuatedAtMs.set(dataCentre, Date.now());
    else this.evacuatedAtMs.delete(dataCentre);
  }

  /** Records a signal to a VM, or its start. */
  recordVmDisturbance(): void {
    this.vmDisturbedAtMs = Date.now();
  }

  /** Records that orders which a restore of the store had lost are written again. */
  recordRewrite(): void {
    this.rewrittenAtMs = Date.now();
  }

  /**
   * Checks a request that a server received; returns what was violated, or null.
   *
   * @param storeDisturbedAtMs - when the store last did not serve the VMs
   */
  recordArrival(
    { serverId, dataCentre }: { readonly serverId: string; readonly dataCentre: string },
    callId: string,
    storeDisturbedAtMs: number,
  ): string | null {
    const evacuatedAtMs = this.evacuatedAtMs.get(dataCentre);
    if (evacuatedAtMs === undefined) return null;
    // A VM that starts while a restored store lacks the order cannot know of it.
    const isRestart = this.vmDisturbedAtMs > this.rewrittenAtMs - STABILITY_MS;
    const knownAtMs = Math.max(evacuatedAtMs, storeDisturbedAtMs);
    const boundAtMs = Math.max(knownAtMs, isRestart ? this.rewrittenAtMs : -Infinity) + EVACUATE_MS;
    const lateMs = Date.now() - boundAtMs;
    return lateMs > 0 ? `${callId} at ${serverId} in ${dataCentre}, ${lateMs} ms late` : null;
  }
}
