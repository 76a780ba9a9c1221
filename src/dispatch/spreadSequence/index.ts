import type * as clocks from "../../_lib/clock/index.js";

/** Place of this VM among all live VMs, from 0; the same order at all of them. */
export interface SpreadRank {
  readonly rank: number;
  readonly vmsCount: number;
}

/** Step between two positions of one VM; multiples of it divide the range evenly. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/** Pause after which the next call of a VM counts as the first of a burst again. */
const BURST_MS = 100;

/** Interval at which all VMs shift, so that no VM prefers one server for long. */
const SHIFT_INTERVAL_MS = 1_000;

/** Number of VMs from which on their ranks alone spread their calls. */
const RANKED_VMS_COUNT = 8;

interface Burst {
  readonly startedAtMs: number;
  readonly base: number;
  callsCount: number;
}

/**
 * Positions from 0 to 1 at which this VM's calls fall among the servers, so that the calls that all VMs send
 * at one moment divide evenly although no VM knows of the others' calls. The load that it answers: many VMs
 * send a call each at the same moment, and what any of them knows of the servers is older than that.
 *
 * The first calls of a burst start from the VM's rank, so that the VMs divide the range; further calls of a VM
 * go on in steps of the golden ratio. Few VMs, as of a fleet whose VMs do not hear each other, add a random
 * offset, since each of many such groups would otherwise choose alike.
 */
export class SpreadSequence {
  private readonly bursts = new Map<string, Burst>();
  private readonly offset: number;

  /**
   * @param random - a number from 0 to 1 that differs from VM to VM
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly rankOf: (serviceName: string) => SpreadRank,
    random: number,
  ) {
    this.offset = random;
  }

  /** Position of the next call to a service. */
  peek(serviceName: string): number {
    const { base, callsCount } = this.currentBurst(serviceName);
    return fractionOf(base + callsCount * GOLDEN_RATIO);
  }

  /** Records that a call was sent, so that the next one has another position. */
  advance(serviceName: string): void {
    this.currentBurst(serviceName).callsCount += 1;
  }

  private currentBurst(serviceName: string): Burst {
    const nowMs = this.clock.nowMs();
    const known = this.bursts.get(serviceName);
    if (known !== undefined && nowMs - known.startedAtMs < BURST_MS) return known;
    const { rank, vmsCount } = this.rankOf(serviceName);
    const shiftsCount = Math.floor(this.clock.wallTimeMs() / SHIFT_INTERVAL_MS);
    const offset = vmsCount < RANKED_VMS_COUNT ? this.offset : 0.5;
    const base = fractionOf((rank + offset) / vmsCount + fractionOf(shiftsCount * GOLDEN_RATIO));
    const created = { startedAtMs: nowMs, base, callsCount: 0 };
    this.bursts.set(serviceName, created);
    return created;
  }
}

function fractionOf(value: number): number {
  return value - Math.floor(value);
}
