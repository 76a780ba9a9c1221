import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";

/** An evacuation of a data centre that is in force. */
export interface Evacuation {
  readonly dataCentre: string;
  /** When this VM learned of it, on its monotonic clock. */
  readonly knownSinceMs: number;
  /** The same on its wall clock. */
  readonly knownSinceWallMs: number;
}

/** The begin or the end of an evacuation, as this VM learns of it. */
export interface EvacuationChange {
  readonly evacuation: Evacuation;
  readonly isInForce: boolean;
}

type ChangeListener = (change: EvacuationChange) => void;

/**
 * The data centres whose servers get nothing new, as operators order in the platform's store. A record
 * is followed at once, and so is a listing, with one exception: a store that was restored from a copy
 * lacks the latest orders until they are written again. What such a listing reverts stays as it was for a
 * grace time; an order that this VM has not known is followed at once even then.
 */
export class Evacuations {
  private readonly inForce = new Map<string, Evacuation>();
  /** Data centres whose evacuation this VM has seen to end. */
  private readonly endedDataCentres = new Set<string>();
  /** What a restored store reverts, by data centre: whether its evacuation is in force after the grace. */
  private readonly reverted = new Map<string, boolean>();
  private readonly changeListeners = new Set<ChangeListener>();
  private graceEndsAtMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /** Whether the servers of a data centre may get nothing new. */
  isInForce(dataCentre: string): boolean {
    return this.inForce.has(dataCentre);
  }

  /** Lists the evacuations in force, in the order in which this VM learned of them. */
  list(): readonly Evacuation[] {
    return [...this.inForce.values()];
  }

  /** Applies one order, which is newer than those known before. */
  apply(dataCentre: string, isInForce: boolean): void {
    this.reverted.delete(dataCentre);
    this.set(dataCentre, isInForce);
  }

  /**
   * Applies all orders that the store holds.
   *
   * @param isRestored - whether the store has been restored since the orders known before
   */
  applyListing(listed: ReadonlySet<string>, isRestored: boolean): void {
    const nowMs = this.clock.nowMs();
    if (isRestored) this.graceEndsAtMs = nowMs + constants.LAPSED_ENTRY_GRACE_MS;
    const isGrace = nowMs < this.graceEndsAtMs;
    for (const dataCentre of new Set([...listed, ...this.inForce.keys()])) {
      const isInForce = listed.has(dataCentre);
      const isReverted = isInForce ? this.endedDataCentres.has(dataCentre) : true;
      const isChange = isInForce !== this.isInForce(dataCentre);
      if (isChange && isGrace && isReverted) this.reverted.set(dataCentre, isInForce);
      else this.apply(dataCentre, isInForce);
    }
    for (const dataCentre of this.reverted.keys()) {
      // Reverted earlier, and in the latest listing as this VM knows it.
      if (listed.has(dataCentre) === this.isInForce(dataCentre)) this.reverted.delete(dataCentre);
    }
  }

  /** Follows what a restored store still says after the grace time. Has to be called periodically. */
  sweep(): void {
    if (this.clock.nowMs() < this.graceEndsAtMs) return;
    for (const [dataCentre, isInForce] of this.reverted) this.apply(dataCentre, isInForce);
  }

  /** Registers a listener for the begin and the end of evacuations. */
  onChange(listener: ChangeListener): Disposable {
    this.changeListeners.add(listener);
    return { [Symbol.dispose]: () => void this.changeListeners.delete(listener) };
  }

  private set(dataCentre: string, isInForce: boolean): void {
    const known = this.inForce.get(dataCentre);
    if ((known !== undefined) === isInForce) return;
    const evacuation = known ?? this.begin(dataCentre);
    if (known === undefined) {
      this.inForce.set(dataCentre, evacuation);
      this.endedDataCentres.delete(dataCentre);
    } else {
      this.inForce.delete(dataCentre);
      this.endedDataCentres.add(dataCentre);
    }
    for (const listener of this.changeListeners) listener({ evacuation, isInForce });
  }

  private begin(dataCentre: string): Evacuation {
    const { clock } = this;
    return {
      dataCentre,
      knownSinceMs: clock.nowMs(),
      knownSinceWallMs: clock.wallTimeMs(),
    };
  }
}
