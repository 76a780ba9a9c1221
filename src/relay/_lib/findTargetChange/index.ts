import * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";

type ChangeContext = Pick<relayContext.RelayContext, "backpressure" | "clock" | "directory">;

type Check = (context: ChangeContext, server: servers.ServerEntry) => boolean;

/** What may happen to an engine after a run has been assigned to it. */
const CHECK_BY_CHANGE: Readonly<Record<string, Check>> = {
  "leaves or has been replaced": ({ directory }, server) => directory.isLeaving(server),
  "is in an evacuated data centre": ({ directory }, server) => directory.isEvacuated(server),
  "wants no request for a time": ({ backpressure }, server) => backpressure.pauseMs(server) > 0,
  "has turned cold": hasTurnedCold,
};

/** Finds out why a run should no longer go to the engine that it was assigned to; null if it may. */
export function findTargetChange(
  context: ChangeContext,
  server: servers.ServerEntry,
): string | null {
  const changes = Object.entries(CHECK_BY_CHANGE);
  return changes.find(([, hasChanged]) => hasChanged(context, server))?.[0] ?? null;
}

function hasTurnedCold(
  { clock, directory }: ChangeContext,
  { id, coldRemainingMs }: servers.ServerEntry,
): boolean {
  const known = directory.find(id);
  if (known === undefined || coldRemainingMs > 0) return false;
  return servers.coldRemainingMs(known, clock.nowMs()) > 0;
}
