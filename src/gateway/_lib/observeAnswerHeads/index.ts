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
}

type StatedServer = Pick<servers.ServerEntry, "id" | "bornAtWallMs" | "serviceName">;

/** Returns a function that takes up what servers state of themselves in the heads of their answers. */
export function observeAnswerHeads(context: ObserverContext): relay.RelayContext["onAnswerHead"] {
  const { log, backpressure } = context;
  return (server, { isOtherServer, isLeaving, retryAfterMs, ratePerSecond }, peer) => {
    // Whichever server answered, it speaks for itself.
    if (isOtherServer) return;
    const { id: serverId, bornAtWallMs } = server;
    const statement = { serverId, bornAtWallMs, isLeaving, retryAfterMs };
    applyStatement(context, server, statement);
    if (peer !== null && (isLeaving || retryAfterMs !== null))
      void serverLinks.sendStatement(peer, statement);
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
    if (entry?.bornAtWallMs === statement.bornAtWallMs) applyStatement(context, entry, statement);
  };
}

function applyStatement(
  { log, directory, backpressure }: ObserverContext,
  server: StatedServer,
  { isLeaving, retryAfterMs }: serverLinks.PeerStatement,
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
