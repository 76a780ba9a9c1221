interface Listener {
  readonly address?: string;
  readonly port?: number;
}

/** The fields that rules across sections read; any may be missing in an invalid file. */
interface UncheckedSettings {
  readonly vm?: {
    readonly name?: string;
    readonly region?: string;
    readonly dataCentre?: string;
    readonly peerAddress?: string;
    readonly peerPort?: number;
  };
  readonly callers?: Listener;
  readonly admin?: Listener;
  readonly fleet?: {
    readonly regions?: readonly {
      readonly name?: string;
      readonly dataCentres?: readonly string[];
    }[];
    readonly seedPeers?: readonly { readonly name?: string }[];
  };
}

interface Rule {
  readonly path: string[];
  readonly error: string;
  /** Always true: rules also run on files with other issues, so that all are reported at once. */
  readonly when: () => boolean;
}

const alwaysTrue = (): boolean => true;

/** Path and error text of `hasKnownDataCentre`. */
export const KNOWN_DATA_CENTRE: Rule = {
  path: ["vm", "dataCentre"],
  error: "a data centre of the VM's region in fleet.regions",
  when: alwaysTrue,
};

/** Path and error text of `hasDistinctPorts`. */
export const DISTINCT_PORTS: Rule = {
  path: ["admin", "port"],
  error: "a port that no other listener uses",
  when: alwaysTrue,
};

/** Path and error text of `hasDistinctSeedNames`. */
export const DISTINCT_SEED_NAMES: Rule = {
  path: ["fleet", "seedPeers"],
  error: "seed peers with distinct names",
  when: alwaysTrue,
};

/** Whether the VM's data centre belongs to its region; true if it or the regions are missing. */
export function hasKnownDataCentre(value: unknown): boolean {
  const draft = toUncheckedSettings(value);
  const dataCentre = draft.vm?.dataCentre;
  const regions = toArray(draft.fleet?.regions);
  if (dataCentre === undefined || regions.length === 0) return true;
  const region = regions.find((item) => item?.name === draft.vm?.region);
  return toArray(region?.dataCentres).includes(dataCentre);
}

/** Whether the callers', operators' and peers' TCP ports differ; 0, any free port, never conflicts. */
export function hasDistinctPorts(value: unknown): boolean {
  const draft = toUncheckedSettings(value);
  const ports = [draft.callers?.port, draft.admin?.port, draft.vm?.peerPort].filter(
    (port) => port !== undefined && port !== 0,
  );
  return new Set(ports).size === ports.length;
}

/** Whether the names of the seed peers are unique. */
export function hasDistinctSeedNames(value: unknown): boolean {
  const names = toArray(toUncheckedSettings(value).fleet?.seedPeers).map((seed) => seed?.name);
  return new Set(names).size === names.length;
}

function toUncheckedSettings(value: unknown): UncheckedSettings {
  return typeof value === "object" && value !== null ? value : {};
}

function toArray<T>(value: readonly T[] | undefined): readonly (T | null)[] {
  return Array.isArray(value) ? (value as readonly (T | null)[]) : [];
}
