import type * as clocks from "../../_lib/clock/index.js";
import * as peerEntries from "../_lib/peerEntries/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

interface Entry {
  readonly waiting: types.FleetWaiting;
  readonly receivedAtMs: number;
  /** When capacity that its VM has not used yet was allocated to it; null without an allocation. */
  allocatedSinceMs: number | null;
}

/** Generations that wait for engine capacity at the other VMs. */
export class FleetQueue {
  private readonly entries = new Map<string, Entry>();
  private readonly peers = new peerEntries.PeerEntries(constants.MAX_PEER_ENTRIES_COUNT, (id) =>
    this.entries.delete(id),
  );

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a waiting generation of a peer, or updates it; above `MAX_PEER_ENTRIES_COUNT`, one is dropped. */
  put(waiting: types.FleetWaiting): void {
    if (!this.peers.add(waiting.vmName, waiting.requestId)) return;
    const known = this.entries.get(waiting.requestId);
    if (known !== undefined && known.waiting.vmName !== waiting.vmName)
      this.peers.delete(known.waiting.vmName, waiting.requestId);
    const allocatedSinceMs = known?.allocatedSinceMs ?? null;
    this.entries.set(waiting.requestId, {
      waiting,
      receivedAtMs: this.clock.nowMs(),
      allocatedSinceMs,
    });
  }

  /** Removes a generation that no longer waits. */
  remove(requestId: string): void {
    const known = this.entries.get(requestId);
    if (known !== undefined) this.peers.delete(known.waiting.vmName, requestId);
    this.entries.delete(requestId);
  }

  /** Removes the generations that waited at a VM that is unavailable. */
  dropVm(vmName: string): void {
    for (const [requestId, { waiting }] of this.entries) {
      if (waiting.vmName === vmName) this.remove(requestId);
    }
  }

  /** Removes generations that were not refreshed for `maxAgeMs`: their removal message was lost. */
  dropStale(maxAgeMs: number): void {
    const oldestMs = this.clock.nowMs() - maxAgeMs;
    for (const [requestId, { receivedAtMs }] of this.entries) {
      if (receivedAtMs < oldestMs) this.remove(requestId);
    }
  }

  /**
   * Lists the generations of a service that take part in allocation. A generation that has not used
   * its allocated capacity in time is left out: its VM is paused or cannot reach the engine, or a
   * message was lost.
   */
  listByService(serviceName: string): readonly types.FleetWaiting[] {
    const unusedSinceMs = this.clock.nowMs() - constants.UNUSED_ALLOCATION_TIMEOUT_MS;
    return [...this.entries.values()]
      .filter(
        ({ allocatedSinceMs }) => allocatedSinceMs === null || allocatedSinceMs > unusedSinceMs,
      )
      .map(({ waiting }) => waiting)
      .filter((waiting) => waiting.serviceName === serviceName);
  }

  /** Records whether the latest allocation gave a generation capacity. */
  recordAllocation(requestId: string, isAllocated: boolean): void {
    const entry = this.entries.get(requestId);
    if (entry === undefined) return;
    entry.allocatedSinceMs = isAllocated ? (entry.allocatedSinceMs ?? this.clock.nowMs()) : null;
  }

  /** Number of generations that were not taken, or removed for others, as too many wait. */
  get turnedAwayCount(): number {
    return this.peers.turnedAwayCount;
  }

  /** Count of all known generations, of any service. */
  get waitingCount(): number {
    return this.entries.size;
  }
}
