import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";

/** A backend server that runs on a VM of the platform. */
export type Backend = catalogue.EngineBackend | catalogue.ServiceBackend;

/**
 * Finds the backend servers on VMs that the platform lists as leaving. A listed VM matches a backend
 * server by name or by address; an address with a port is compared with host and port of the
 * server's URL, one without a port with its host only.
 *
 * @param state - the state of the catalogue
 * @param listed - the platform's list of VMs
 */
export function findLeavingBackends(
  state: catalogue.CatalogueState,
  listed: readonly platform.ListedVm[],
): readonly Backend[] {
  const leaving = listed.filter((vm) => vm.listing === platform.VmListing.Leaving);
  if (leaving.length === 0) return [];
  const names = new Set(leaving.map((vm) => vm.name));
  const addresses = new Set(leaving.map((vm) => vm.address));
  return [...state.items.values()]
    .map(({ item }) => item)
    .filter(isBackend)
    .filter((backend) => names.has(backend.name) || hasListedAddress(addresses, backend.url));
}

function isBackend(item: catalogue.CatalogueItem): item is Backend {
  return item.kind === catalogue.ItemKind.Engine || item.kind === catalogue.ItemKind.Service;
}

function hasListedAddress(addresses: ReadonlySet<string>, url: string): boolean {
  const { host, hostname } = new URL(url);
  return addresses.has(host) || addresses.has(hostname);
}
