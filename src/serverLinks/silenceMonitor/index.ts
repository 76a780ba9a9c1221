import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";

/** A request that was sent over this VM's own links and awaits the first byte of its answer. */
interface PendingAnswer {
  readonly serverId: string;
  readonly sentAtMs: number;
}

/** Records what becomes of one request. */
export interface AnswerWatch extends Disposable {
  /** Records that bytes of the server have arrived. */
  readonly recordBytes: () => void;
}

/**
 * Whether the servers are silent towards this VM alone: they accept its connections and answer nothing,
 * while a peer gets answers from the same servers. Load pattern: a link that loses one direction, or
 * servers that fail towards the callers of one data centre. A slow server is told apart by the answers
 * of others, and servers that are silent towards all VMs by those that peers do not get either.
 */
export class SilenceMonitor {
  private readonly pending = new Set<PendingAnswer>();
  private heardAtMs = -Infinity;
  private silentSinceMs: number | null = null;
  private trialAtMs = -Infinity;

  constructor(private readonly clock: clocks.Clock) {}

  /** Whether the servers are silent towards this VM, as the answer of a peer has shown. */
  get isSilent(): boolean {
    if (this.silentSinceMs === null) return false;
    return this.clock.nowMs() - this.trialAtMs < constants.SILENCE_BELIEF_LIFETIME_MS;
  }

  /** Time for which the servers have been silent towards this VM; 0 if they are not. */
  get silentMs(): number {
    return this.silentSinceMs === null ? 0 : this.clock.nowMs() - this.silentSinceMs;
  }

  /** Watches a request that is sent to a server now, over this VM's own links. */
  watch(serverId: string): AnswerWatch {
    const pending = { serverId, sentAtMs: this.clock.nowMs() };
    this.pending.add(pending);
    return {
      recordBytes: () => {
        this.pending.delete(pending);
        this.heardAtMs = this.clock.nowMs();
        this.silentSinceMs = null;
      },
      [Symbol.dispose]: () => void this.pending.delete(pending),
    };
  }

  /**
   * Whether servers may be silent towards this VM: requests to several of them are without a byte of an
   * answer, and nothing was received from any server since the first of these was sent.
   *
   * @param serversCount - all known servers, which may be fewer than usually have to be silent
   */
  isSuspected(serversCount: number): boolean {
    const neededCount = Math.min(constants.MIN_UNREACHABLE_SERVERS_COUNT, serversCount);
    return neededCount > 0 && this.listSilentIds().size >= neededCount;
  }

  /**
   * Records that a peer has received bytes of a server for this VM.
   *
   * @param serversCount - as above
   * @returns whether it shows that the servers are silent towards this VM, which was not known
   */
  recordBytesThroughPeer(serverId: string, serversCount: number): boolean {
    if (this.isSilent || !this.isSuspected(serversCount)) return false;
    if (!this.listSilentIds().has(serverId)) return false;
    this.silentSinceMs = this.clock.nowMs();
    this.trialAtMs = this.silentSinceMs;
    return true;
  }

  /**
   * Whether a request that may be repeated tries this VM's own links, to notice the end of the silence;
   * true once in each interval.
   */
  takeTrial(): boolean {
    const nowMs = this.clock.nowMs();
    if (nowMs - this.trialAtMs < constants.SILENCE_TRIAL_INTERVAL_MS) return false;
    this.trialAtMs = nowMs;
    return true;
  }

  private listSilentIds(): ReadonlySet<string> {
    const latestSentAtMs = this.clock.nowMs() - constants.SILENCE_TIMEOUT_MS;
    const silent = [...this.pending].filter(
      ({ sentAtMs }) => sentAtMs <= latestSentAtMs && sentAtMs > this.heardAtMs,
    );
    return new Set(silent.map(({ serverId }) => serverId));
  }
}
