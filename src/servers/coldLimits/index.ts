import type * as clocks from "../../_lib/clock/index.js";
import type * as routing from "../../routing/index.js";
import * as coldRemaining from "../coldRemaining/index.js";
import * as constants from "../constants.js";
import type * as serverBackpressures from "../serverBackpressure/index.js";
import * as types from "../types.js";

type ServerStart = serverBackpressures.ServerStart;

/** What the limits on cold servers depend on. */
export interface ColdLimitsContext {
  readonly clock: clocks.Clock;
  /** Null where no limit applies. */
  readonly bounds: types.ColdBounds | null;
  readonly findServer: (serverId: string) => types.KnownServer | undefined;
  readonly listServers: () => readonly types.KnownServer[];
  /** What servers of a service bear while they are cold; null if it states no limit. */
  readonly coldStartOf: (serviceName: string) => routing.ColdStart | null;
  /** Place among all VMs that are known, silent ones and those that are only listed included. */
  readonly rankOf: (serverId: string) => serverBackpressures.VmRank;
}

/** A server that is taken to be cold although its entry does not say so. */
interface Assumption {
  readonly bornAtWallMs: number;
  readonly untilMs: number;
}

/** A cold server, and the rate of requests that it bears. */
interface ColdState {
  readonly remainingMs: number;
  readonly ratePerSecond: number;
}

/**
 * Limits the requests to cold servers, each of which ends under too many in a second. Answers servers that
 * come back under load, alone or as a whole data centre: they are idle, so that all VMs prefer them.
 *
 * The VMs that rank first for a server share its requests, each a whole number a second, evenly spaced;
 * the others send there when it is warm. Together they use half of the bound at most: two parts of the fleet
 * that do not know of each other stay within it. A VM that has just started has no share, and one that
 * knows no other VM sends one request a second.
 */
export class ColdLimits implements serverBackpressures.SlotLimits {
  private readonly startedAtMs: number;
  private readonly assumptions = new Map<string, Assumption>();
  private readonly nextSlotAtMs = new Map<string, number>();

  constructor(private readonly context: ColdLimitsContext) {
    this.startedAtMs = context.clock.nowMs();
  }

  /** Time until this VM may send a request to a server: until its next slot or the end of the cold time. */
  delayMs(server: ServerStart): number {
    const cold = this.findCold(server);
    if (cold === null) return 0;
    if (!Number.isFinite(this.computeIntervalMs(server.id, cold.ratePerSecond)))
      return cold.remainingMs;
    const slotDelayMs =
      (this.nextSlotAtMs.get(server.id) ?? -Infinity) - this.context.clock.nowMs();
    return Math.min(cold.remainingMs, Math.max(0, slotDelayMs));
  }

  /** Takes the next slot for a request to a server, which is due after the present delay. */
  reserve(server: ServerStart): void {
    const cold = this.findCold(server);
    if (cold === null) return;
    const intervalMs = this.computeIntervalMs(server.id, cold.ratePerSecond);
    if (!Number.isFinite(intervalMs)) return;
    const earliestAtMs = Math.max(
      this.context.clock.nowMs(),
      this.nextSlotAtMs.get(server.id) ?? -Infinity,
    );
    this.nextSlotAtMs.set(server.id, earliestAtMs + intervalMs);
  }

  /**
   * Records that a server refused a connection: it may restart under the same id before its entry tells. A
   * connection that times out tells nothing of a restart, and would keep the fleet from sound servers.
   */
  recordRefusedConnection(serverId: string): void {
    this.assume(serverId, () => constants.RESTART_SUSPICION_MS);
  }

  /** Records the outcome of an attempt: once a server answers, it is cold for no longer than after a start. */
  recordOutcome(serverId: string, verdict: types.AttemptVerdict): void {
    if (verdict === types.AttemptVerdict.Served && this.assumptions.has(serverId))
      this.shorten(serverId);
  }

  /** Takes a server to be cold, as it may have become so without a message that tells. */
  assumeCold(serverId: string): void {
    this.assume(serverId, ({ durationMs }) => durationMs);
  }

  /** Ids of the servers that are cold or taken to be so. */
  listCold(): readonly string[] {
    return this.context
      .listServers()
      .filter(({ entry, leaving }) => leaving === null && this.findCold(entry) !== null)
      .map(({ entry }) => entry.id);
  }

  /** Removes what is known of all servers except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    for (const known of [this.assumptions, this.nextSlotAtMs]) {
      for (const serverId of known.keys()) if (!serverIds.has(serverId)) known.delete(serverId);
    }
  }

  private findCold({ id, bornAtWallMs }: ServerStart): ColdState | null {
    if (this.context.bounds === null) return null;
    const server = this.context.findServer(id);
    if (server?.entry.bornAtWallMs !== bornAtWallMs) return null;
    const coldStart = this.context.coldStartOf(server.entry.serviceName);
    if (coldStart === null) return null;
    const nowMs = this.context.clock.nowMs();
    const assumption = this.assumptions.get(id);
    const isAssumed = assumption?.bornAtWallMs === bornAtWallMs;
    const remainingMs = Math.max(
      coldRemaining.coldRemainingMs(server, nowMs),
      isAssumed ? assumption.untilMs - nowMs : 0,
    );
    return remainingMs > 0 ? { remainingMs, ratePerSecond: coldStart.ratePerSecond } : null;
  }

  /** Interval between two requests of this VM; Infinity if it has no share. */
  private computeIntervalMs(serverId: string, ratePerSecond: number): number {
    const { bounds, clock, rankOf } = this.context;
    if (bounds === null) return 0;
    if (clock.nowMs() - this.startedAtMs < constants.VIEW_SETTLING_MS) return Infinity;
    const requestsCount = countSharedRequests(ratePerSecond, bounds);
    const { rank, vmsCount } = rankOf(serverId);
    const ownCount = vmsCount === 1 ? 1 : shareOf(rank, vmsCount, requestsCount);
    if (ownCount === 0) return Infinity;
    return (1_000 + constants.COLD_SPACING_MARGIN_MS) / ownCount;
  }

  private assume(serverId: string, durationOf: (coldStart: routing.ColdStart) => number): void {
    const entry = this.context.findServer(serverId)?.entry;
    const coldStart = entry && this.context.coldStartOf(entry.serviceName);
    if (!coldStart) return;
    const untilMs = this.context.clock.nowMs() + durationOf(coldStart);
    this.assumptions.set(serverId, { bornAtWallMs: entry.bornAtWallMs, untilMs });
  }

  private shorten(serverId: string): void {
    const known = this.assumptions.get(serverId);
    const entry = this.context.findServer(serverId)?.entry;
    const durationMs = (entry && this.context.coldStartOf(entry.serviceName)?.durationMs) ?? 0;
    const untilMs = this.context.clock.nowMs() + durationMs;
    if (known !== undefined && untilMs < known.untilMs)
      this.assumptions.set(serverId, { ...known, untilMs });
  }
}

/** Requests a second that all VMs together send to a cold server: half of the bound, and at most its rate. */
function countSharedRequests(ratePerSecond: number, bounds: types.ColdBounds): number {
  const boundCount = ratePerSecond * bounds.overrunRatio + bounds.toleranceCount;
  return Math.max(1, Math.floor(Math.min(ratePerSecond, boundCount / 2)));
}

/** Splits a number of requests evenly among the VMs that rank first; returns those of one VM. */
function shareOf(rank: number, vmsCount: number, requestsCount: number): number {
  const hasExtra = rank < requestsCount % vmsCount;
  return Math.floor(requestsCount / vmsCount) + (hasExtra ? 1 : 0);
}
