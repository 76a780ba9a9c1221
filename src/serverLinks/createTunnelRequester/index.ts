import type * as clocks from "../../_lib/clock/index.js";
import * as dialFrom from "../_lib/createDialFrom/index.js";
import * as tunnels from "../_lib/openTunnel/index.js";
import type * as types from "../types.js";

/** Returns how a VM asks its peers for tunnels, from the address by which they know it if that is given. */
export function createTunnelRequester(
  clock: clocks.Clock,
  vmName: string,
  ownHost = "",
): types.RequestTunnel {
  const dial = dialFrom.createDialFrom(ownHost);
  return (peer, request, signal) =>
    tunnels.openTunnel(vmName, peer, request, { clock, dial, signal });
}
