import * as diagnostics from "../../../diagnostics/index.js";
import type * as relay from "../../../relay/index.js";
import type * as servers from "../../../servers/index.js";

const { Importance, LogEvent } = diagnostics;

/** Returns a function that takes up what servers state of themselves in the heads of their answers. */
export function observeAnswerHeads(
  log: diagnostics.DecisionLog,
  rateLimits: servers.ServerRateLimits,
): relay.RelayContext["onAnswerHead"] {
  return (server, { ratePerSecond }) => {
    if (!rateLimits.record(server.id, ratePerSecond)) return;
    log.record(Importance.StateChange, LogEvent.ServerLimitChanged, {
      serverId: server.id,
      service: server.serviceName,
      ratePerSecond,
    });
  };
}
