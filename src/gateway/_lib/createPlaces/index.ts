import * as servers from "../../../servers/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import type * as types from "../../types.js";

/** Parts of a VM that its places at brittle servers use; functions, as they are created later. */
export interface PlacesParts {
  readonly getMesh: () => Pick<sharedView.PeerMesh, "orderVms">;
  /** Whether this VM has read which VMs there are since its start. */
  readonly knowsFleet: () => boolean;
  /** Time that calls at a server usually take; null if it is not known. */
  readonly typicalMs: (serverId: string) => number | null;
}

/** Creates a VM's places at brittle servers. */
export function createPlaces(
  { vmName }: Pick<types.GatewaySettings, "vmName">,
  { clock }: Pick<types.GatewayPorts, "clock">,
  overloadGuard: servers.OverloadGuard,
  { getMesh, ...parts }: PlacesParts,
): servers.BrittlePlaces {
  const orderVms = (serverId: string): readonly string[] => getMesh().orderVms(serverId);
  return new servers.BrittlePlaces({ clock, vmName, overloadGuard, orderVms, ...parts });
}
