import * as diagnostics from "../../../diagnostics/index.js";
import type * as relay from "../../../relay/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";

const { Importance, LogEvent } = diagnostics;

/** What the statements of servers change. */
export interface ObserverContext {
  readonly log: diagnostics.DecisionLog;
  readonly directory: servers.ServerDirectory;
  readonly backpressure: servers.ServerBackpressure;
  readonly overloadGuard: servers.OverloadGuard;
}

/** Status of a server that has no room. */
const UNAVAILABLE_STATUS = 503;

type StatedServer = Pick<servers.ServerEntry, "id" | "bornAtWallMs" | "serviceName">;

/** Returns a function that takes up what servers state of themselves in the heads of their answers. */
export function observeAnswerHeads(context: ObserverContext): relay.RelayContext["onAnswerHead"] {
  const { log, backpressure, overloadGuard } = context;
  return (server, head, peer) => {
    const { isLeaving, retryAfterMs, ratePerSecond, maxRejectionsPerSecond } = head;
    // Whichever server answered, it speaks for itself.
    if (head.isMisdirected) return;
    const isRejection = head.isNotRun && head.status === UNAVAILABLE_STATUS;
    overloadGuard.recordAnswer(server, { maxRejectionsPerSecond, isRejection });
    const { id: serverId, bornAtWallMs } = server;
    const own = { serverId, bornAtWallMs, isLeaving, retryAfterMs };
    applyStatement(context, server, own);
    const isRejectedByBrittle = isRejection && maxRejectionsPerSecond !== null;
    if (peer !== null && (isLeaving || retryAfterMs !== null || isRejectedByBrittle))
      void serverLinks.sendStatement(peer, { ...own, isRejection, maxRejectionsPerSecond });
    if (!backpressure.record(server, ratePerSecond)) return;
    log.record(Importance.StateChange, LogEvent.ServerRateChanged, {
      serverId,
      service: server.serviceName,
      ratePerSecond,
    });
  };
}

/** Returns a function that takes up what servers stated in answers to peers, through tunnels of this VM. */
export function observePeerStatements(
  context: ObserverContext,
): (statement: serverLinks.PeerStatement) => void {
  return (statement) => {
    const entry = context.directory.find(statement.serverId)?.entry;
    if (entry?.bornAtWallMs !== statement.bornAtWallMs) return;
    // The place of this VM was on loan.
    if (statement.isRejection) context.overloadGuard.recordAnswer(entry, statement);
    applyStatement(context, entry, statement);
  };
}

function applyStatement(
  { log, directory, backpressure }: ObserverContext,
  server: StatedServer,
  { isLeaving, retryAfterMs }: Pick<serverLinks.PeerStatement, "isLeaving" | "retryAfterMs">,
): void {
  if (isLeaving && directory.find(server.id)?.entry.bornAtWallMs === server.bornAtWallMs)
    directory.markLeaving(server.id, servers.LeavingReason.StatedInAnswer);
  if (retryAfterMs === null) return;
  backpressure.pause(server, retryAfterMs);
  log.record(Importance.Notable, LogEvent.ServerPaused, {
    serverId: server.id,
    service: server.serviceName,
    retryAfterMs,
  });
}
