import * as dispatch from "../../../dispatch/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";

/** State of a call that the selection of its next server takes into account. */
export interface PlainTargetQuery {
  readonly serviceName: string;
  /** Objective of the call's route. */
  readonly objectiveMs: number;
  /** Calls of this VM in progress, by server. */
  readonly pendingCounts: ReadonlyMap<string, number>;
  /** Servers that have received the call. */
  readonly triedIds: ReadonlySet<string>;
  /** Servers that may have executed the call. */
  readonly possiblyRanIds: ReadonlySet<string>;
  /** Whether the call may be sent to a server that has not executed it. */
  readonly canUseNewServer: boolean;
  readonly isIdempotent: boolean;
}

/** Selects the server to which a call is sent next; undefined if none takes it. */
export function selectPlainTarget(
  context: relayContext.RelayContext,
  query: PlainTargetQuery,
): servers.KnownServer | undefined {
  const { directory, trust, backpressure, loads, places, spread } = context;
  const present = directory.listAvailable(query.serviceName);
  const available = present.filter(({ entry }) => places.isFree(entry));
  const isReachable = ({ entry }: servers.KnownServer): boolean => !trust.isSuspended(entry.id);
  const reachable = available.filter(isReachable);
  // A call rather waits for a place at a server that is up than has one at a server that is down.
  if (reachable.length === 0 && present.some(isReachable)) return undefined;
  const selectable = reachable.length > 0 ? reachable : available;
  const allowed = query.canUseNewServer
    ? selectable
    : selectable.filter(({ entry }) => query.possiblyRanIds.has(entry.id));
  const candidates = allowed.map(({ entry }): dispatch.PlainCandidate => {
    return {
      serverId: entry.id,
      dataCentre: entry.dataCentre,
      pendingCount: query.pendingCounts.get(entry.id) ?? 0,
      failureRatio: trust.failureRatio(entry.id),
      typicalMs: trust.typicalMs(entry.id),
      recentMs: trust.recentMs(entry.id),
      isPartitioned: trust.isPartitionSuspected(entry.dataCentre),
      admissionDelayMs: backpressure.delayMs(entry),
      slotsCount: Math.max(1, entry.slotsCount),
      fastMs: loads.fastMs(entry.id),
      shareAfterRejections: loads.shareAfterRejections(entry.id),
    };
  });
  const chosen = dispatch.selectPlainServer(candidates, {
    dataCentre: context.dataCentre,
    avoidedIds: query.triedIds,
    failureWeight: query.isIdempotent
      ? constants.IDEMPOTENT_FAILURE_WEIGHT
      : constants.ONCE_ONLY_FAILURE_WEIGHT,
    position: spread.peek(query.serviceName),
    isContended: available.some(({ entry }) => loads.hasRejectedLately(entry.id)),
    random: context.random,
    tolerableMs: constants.TOLERABLE_OBJECTIVE_RATIO * query.objectiveMs,
  });
  return chosen && directory.find(chosen.serverId);
}
