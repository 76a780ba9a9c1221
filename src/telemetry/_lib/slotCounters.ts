import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Counts good and bad events in one-minute slots, in a ring buffer of six hours. */
export class SlotCounters {
  private readonly goodCounts = new Uint32Array(constants.BURN_SLOTS_COUNT);
  private readonly badCounts = new Uint32Array(constants.BURN_SLOTS_COUNT);
  private newestSlot = -1;

  /** Counts one event at the given wall time. */
  add(isGood: boolean, wallTimeMs: number): void {
    const slot = toSlotNumber(wallTimeMs);
    this.advanceTo(slot);
    const index = slot % constants.BURN_SLOTS_COUNT;
    const counts = isGood ? this.goodCounts : this.badCounts;
    counts[index] = (counts[index] ?? 0) + 1;
  }

  /** Returns the sums over a window of whole slots that ends with the slot of the wall time. */
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

  /** Returns the last `count` slots up to the given wall time, oldest first. */
  listSlots(wallTimeMs: number, count: number): readonly types.BurnSlot[] {
    const last = toSlotNumber(wallTimeMs);
    this.advanceTo(last);
    const slots: types.BurnSlot[] = [];
    for (let slot = last - count + 1; slot <= last; slot += 1) {
      const index = slot % constants.BURN_SLOTS_COUNT;
      slots.push({
        startWallMs: slot * constants.BURN_SLOT_MS,
        goodCount: this.goodCounts[index] ?? 0,
        badCount: this.badCounts[index] ?? 0,
      });
    }
    return slots;
  }

  private advanceTo(slot: number): void {
    if (this.newestSlot < 0) this.newestSlot = slot - 1;
    const staleCount = Math.min(slot - this.newestSlot, constants.BURN_SLOTS_COUNT);
    for (let step = 0; step < staleCount; step += 1) {
      const index = (slot - step) % constants.BURN_SLOTS_COUNT;
      this.goodCounts[index] = 0;
      this.badCounts[index] = 0;
    }
    this.newestSlot = Math.max(this.newestSlot, slot);
  }
}

function toSlotNumber(wallTimeMs: number): number {
  return Math.floor(wallTimeMs / constants.BURN_SLOT_MS);
}
