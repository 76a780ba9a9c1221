import * as diagnostics from "../../../diagnostics/index.js";
import type * as relay from "../../../relay/index.js";
import * as servers from "../../../servers/index.js";

const { Importance, LogEvent } = diagnostics;

/** What the statements of servers change. */
export interface ObserverContext {
  readonly log: diagnostics.DecisionLog;
  readonly directory: servers.ServerDirectory;
  readonly rateLimits: servers.ServerRateLimits;
}

/** Returns a function that takes up what servers state of themselves in the heads of their answers. */
export function observeAnswerHeads({
  log,
  directory,
  rateLimits,
}: ObserverContext): relay.RelayContext["onAnswerHead"] {
  return (server, { isOtherServer, isLeaving, ratePerSecond }) => {
    // Whichever server answered, it speaks for itself.
    if (isOtherServer) return;
    if (isLeaving && directory.find(server.id)?.entry.bornAtWallMs === server.bornAtWallMs)
      directory.markLeaving(server.id, servers.LeavingReason.StatedInAnswer);
    if (!rateLimits.record(server.id, ratePerSecond)) return;
    log.record(Importance.StateChange, LogEvent.ServerLimitChanged, {
      serverId: server.id,
      service: server.serviceName,
      ratePerSecond,
    });
  };
}
