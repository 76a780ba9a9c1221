import * as diagnostics from "../../../diagnostics/index.js";
import type * as relay from "../../../relay/index.js";
import * as servers from "../../../servers/index.js";

const { Importance, LogEvent } = diagnostics;

/** What the statements of servers change. */
export interface ObserverContext {
  readonly log: diagnostics.DecisionLog;
  readonly directory: servers.ServerDirectory;
  readonly backpressure: servers.ServerBackpressure;
}

/** Returns a function that takes up what servers state of themselves in the heads of their answers. */
export function observeAnswerHeads({
  log,
  directory,
  backpressure,
}: ObserverContext): relay.RelayContext["onAnswerHead"] {
  return (server, { isOtherServer, isLeaving, retryAfterMs, ratePerSecond }) => {
    // Whichever server answered, it speaks for itself.
    if (isOtherServer) return;
    if (isLeaving && directory.find(server.id)?.entry.bornAtWallMs === server.bornAtWallMs)
      directory.markLeaving(server.id, servers.LeavingReason.StatedInAnswer);
    if (retryAfterMs !== null) {
      backpressure.pause(server, retryAfterMs);
      log.record(Importance.Notable, LogEvent.ServerPaused, {
        serverId: server.id,
        service: server.serviceName,
        retryAfterMs,
      });
    }
    if (!backpressure.record(server, ratePerSecond)) return;
    log.record(Importance.StateChange, LogEvent.ServerRateChanged, {
      serverId: server.id,
      service: server.serviceName,
      ratePerSecond,
    });
  };
}
