import * as diagnostics from "../../../diagnostics/index.js";
import type * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/** Logs that a server leaves, with the sign of it and the ages of what is known of servers. */
export function recordServerLeaving(
  { clock, log }: Pick<types.GatewayPorts, "clock" | "log">,
  view: currentViews.CurrentView,
  { entry, leaving, receivedAtMs }: servers.KnownServer,
): void {
  log.record(Importance.StateChange, LogEvent.ServerLeaving, {
    serverId: entry.id,
    service: entry.serviceName,
    sign: leaving,
    entryAgeMs: Math.round(clock.nowMs() - receivedAtMs),
    viewAgeMs: Math.round(view.replicaOf(sharedView.Topic.Servers).ageMs),
  });
}
