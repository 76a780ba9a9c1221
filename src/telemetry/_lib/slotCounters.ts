import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Good and bad events per minute, in a ring of six hours. */
export class SlotCounters {
  private readonly good = new Uint32Array(constants.BURN_SLOTS_COUNT);
  private readonly bad = new Uint32Array(constants.BURN_SLOTS_COUNT);
  private newestSlot = -1;

  add(isGood: boolean, wallTimeMs: number): void {
    const slot = slotOf(wallTimeMs);
    this.moveTo(slot);
    const index = slot % constants.BURN_SLOTS_COUNT;
    const counts = isGood ? this.good : this.bad;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  /** Sums over the slots of a window that ends now. */
  countWindow(windowMs: number, wallTimeMs: number): types.BurnCounts {
    const slots = this.listSlots(wallTimeMs, Math.ceil(windowMs / constants.BURN_SLOT_MS));
    const sum = (pick: (slot: types.BurnSlot) => number): number =>
      slots.reduce((total, slot) => total + pick(slot), 0);
    return {
      windowMs,
      goodCount: sum((slot) => slot.goodCount),
      badCount: sum((slot) => slot.badCount),
    };
  }

  /** The newest slots up to now, oldest first. */
  listSlots(wallTimeMs: number, count: number): readonly types.BurnSlot[] {
    const last = slotOf(wallTimeMs);
    this.moveTo(last);
    const slots: types.BurnSlot[] = [];
    for (let slot = last - count + 1; slot <= last; slot += 1) {
      const index = slot % constants.BURN_SLOTS_COUNT;
      slots.push({
        startWallMs: slot * constants.BURN_SLOT_MS,
        goodCount: this.good[index] ?? 0,
        badCount: this.bad[index] ?? 0,
      });
    }
    return slots;
  }

  private moveTo(slot: number): void {
    if (this.newestSlot < 0) this.newestSlot = slot - 1;
    const staleCount = Math.min(slot - this.newestSlot, constants.BURN_SLOTS_COUNT);
    for (let step = 0; step < staleCount; step += 1) {
      const index = (slot - step) % constants.BURN_SLOTS_COUNT;
      this.good[index] = 0;
      this.bad[index] = 0;
    }
    this.newestSlot = Math.max(this.newestSlot, slot);
  }
}

function slotOf(wallTimeMs: number): number {
  return Math.floor(wallTimeMs / constants.BURN_SLOT_MS);
}
