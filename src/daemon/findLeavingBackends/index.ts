import * as catalogue from "../../catalogue/index.js";
import * as platform from "../../controlPlane/types.js";

/** A backend server that runs on a VM of the platform. */
export type Backend = catalogue.EngineBackend | catalogue.ServiceBackend;

/**
 * The backend servers whose VMs the platform's list says are leaving. A VM is a backend server's
 * where it has its name, or its address: with a port, that of the server's URL; without, its host.
 *
 * @param state - the catalogue
 * @param listed - the platform's list
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
    .filter((backend) => names.has(backend.name) || isAmong(addresses, backend.url));
}

function isBackend(item: catalogue.CatalogueItem): item is Backend {
  return item.kind === catalogue.ItemKind.Engine || item.kind === catalogue.ItemKind.Service;
}

function isAmong(addresses: ReadonlySet<string>, url: string): boolean {
  const { host, hostname } = new URL(url);
  return addresses.has(host) || addresses.has(hostname);
}
