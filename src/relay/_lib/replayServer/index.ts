import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import type * as servers from "../../../servers/index.js";
import * as fixtures from "../fixtures/index.js";

/** How many calls a server of the replay runs at a time and lets wait, and how long one takes. */
export interface ServerCapacity {
  readonly slotsCount: number;
  readonly placesCount: number;
  readonly workMs: number;
}

/** How a brittle server ends. */
export interface Brittleness {
  /** Rejections a second above which it ends. */
  readonly maxRejectionsPerSecond: number;
  readonly downMs: number;
  /** Whether it still lets calls wait. */
  readonly letsWait: boolean;
}

const SECOND_MS = 1_000;

/** A server of the replay: runs as many calls as it has slots, lets others wait, and rejects the rest. */
export class ReplayServer {
  readonly entry: servers.ServerEntry;
  arrivalsCount = 0;
  rejectionsCount = 0;
  fallsCount = 0;
  /** Time that a call takes now. */
  workMs: number;
  /** Null while the server is not brittle. */
  brittleness: Brittleness | null = null;
  private readonly placesCount: number;
  private readonly freeAtMs: number[];
  private waitingEndsMs: number[] = [];
  private rejectedAtMs: number[] = [];
  private downUntilMs = -Infinity;

  constructor(
    id: string,
    port: number,
    private readonly clock: virtualClocks.VirtualClock,
    { slotsCount, placesCount, workMs }: ServerCapacity,
  ) {
    this.workMs = workMs;
    this.placesCount = placesCount;
    this.freeAtMs = Array.from({ length: slotsCount }, () => 0);
    this.entry = { ...fixtures.createServerEntry(id, port), slotsCount };
  }

  /** Whether it has ended and not yet come back. */
  get isDown(): boolean {
    return this.clock.nowMs() < this.downUntilMs;
  }

  /** Takes a call; returns when its work ends, or null if there is no place. */
  take(): number | null {
    const nowMs = this.clock.nowMs();
    this.arrivalsCount += 1;
    this.waitingEndsMs = this.waitingEndsMs.filter((startsAtMs) => startsAtMs > nowMs);
    const slot = this.freeAtMs.indexOf(Math.min(...this.freeAtMs));
    const startsAtMs = Math.max(nowMs, this.freeAtMs[slot] ?? 0);
    const isFull =
      this.brittleness?.letsWait === false
        ? startsAtMs > nowMs
        : this.waitingEndsMs.length >= this.placesCount;
    if (isFull) {
      this.reject(nowMs);
      return null;
    }
    if (startsAtMs > nowMs) this.waitingEndsMs.push(startsAtMs);
    const endsAtMs = startsAtMs + this.workMs;
    this.freeAtMs[slot] = endsAtMs;
    return endsAtMs;
  }

  private reject(nowMs: number): void {
    this.rejectionsCount += 1;
    if (this.brittleness === null) return;
    this.rejectedAtMs = [...this.rejectedAtMs.filter((atMs) => nowMs - atMs < SECOND_MS), nowMs];
    if (this.rejectedAtMs.length <= this.brittleness.maxRejectionsPerSecond) return;
    this.fallsCount += 1;
    this.downUntilMs = nowMs + this.brittleness.downMs;
    this.rejectedAtMs = [];
    this.waitingEndsMs = [];
    this.freeAtMs.fill(0);
  }
}
