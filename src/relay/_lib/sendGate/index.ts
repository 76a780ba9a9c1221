import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";

type GateContext = Pick<relayContext.RelayContext, "backpressure" | "directory">;

/**
 * Whether a request may be sent to a server now: its data centre is not evacuated, and it has not asked
 * this VM for a pause. Checked when a connection is open, as what was decided before may no longer hold.
 */
export function isOpen(
  { backpressure, directory }: GateContext,
  server: servers.ServerEntry,
): boolean {
  return !directory.isEvacuated(server) && backpressure.pauseMs(server) === 0;
}
