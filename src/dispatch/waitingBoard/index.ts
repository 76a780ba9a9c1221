import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

interface Entry {
  readonly waiting: types.FleetWaiting;
  readonly heardAtMs: number;
  /** Since when it has been allotted room that its VM has not taken; null where it has not. */
  allottedSinceMs: number | null;
}

/** Generations that wait for room at the other VMs. */
export class WaitingBoard {
  private readonly entries = new Map<string, Entry>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a generation, or notes that it waits still. */
  put(waiting: types.FleetWaiting): void {
    const allottedSinceMs = this.entries.get(waiting.requestId)?.allottedSinceMs ?? null;
    this.entries.set(waiting.requestId, {
      waiting,
      heardAtMs: this.clock.nowMs(),
      allottedSinceMs,
    });
  }

  /** The generation waits no more. */
  remove(requestId: string): void {
    this.entries.delete(requestId);
  }

  /** Drops what waited at a VM that is gone. */
  dropVm(vmName: string): void {
    for (const [requestId, { waiting }] of this.entries) {
      if (waiting.vmName === vmName) this.entries.delete(requestId);
    }
  }

  /** Drops generations that were not told of again for a while: word of their leaving got lost. */
  dropStale(maxAgeMs: number): void {
    const oldestMs = this.clock.nowMs() - maxAgeMs;
    for (const [requestId, { heardAtMs }] of this.entries) {
      if (heardAtMs < oldestMs) this.entries.delete(requestId);
    }
  }

  /**
   * Generations of a service that have their place in the queue. One that has been allotted room
   * and not taken it has lost it: its VM stands still, cannot reach the engine, or word got lost.
   */
  ofService(serviceName: string): readonly types.FleetWaiting[] {
    const passedOverMs = this.clock.nowMs() - constants.UNTAKEN_ROOM_MS;
    return [...this.entries.values()]
      .filter(({ allottedSinceMs }) => allottedSinceMs === null || allottedSinceMs > passedOverMs)
      .map(({ waiting }) => waiting)
      .filter((waiting) => waiting.serviceName === serviceName);
  }

  /** Notes whether a generation was allotted room. */
  noteAllotment(requestId: string, isAllotted: boolean): void {
    const entry = this.entries.get(requestId);
    if (entry === undefined) return;
    entry.allottedSinceMs = isAllotted ? (entry.allottedSinceMs ?? this.clock.nowMs()) : null;
  }

  get waitingCount(): number {
    return this.entries.size;
  }
}
