interface Listener {
  readonly address?: string;
  readonly port?: number;
}

/** The fields that rules across sections read; any may be missing in a faulty file. */
interface Draft {
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
  /** Rules also run on files with other mistakes, so that all are reported at once. */
  readonly when: () => boolean;
}

const always = (): boolean => true;

export const KNOWN_DATA_CENTRE: Rule = {
  path: ["vm", "dataCentre"],
  error: "a data centre of the VM's region in fleet.regions",
  when: always,
};

export const DISTINCT_PORTS: Rule = {
  path: ["admin", "port"],
  error: "a port that no other listener uses",
  when: always,
};

export const DISTINCT_SEED_NAMES: Rule = {
  path: ["fleet", "seedPeers"],
  error: "seed peers with distinct names",
  when: always,
};

/** Whether the VM's data centre belongs to its region. */
export function hasKnownDataCentre(value: unknown): boolean {
  const draft = asDraft(value);
  const dataCentre = draft.vm?.dataCentre;
  const regions = listOf(draft.fleet?.regions);
  if (dataCentre === undefined || regions.length === 0) return true;
  const region = regions.find((item) => item?.name === draft.vm?.region);
  return listOf(region?.dataCentres).includes(dataCentre);
}

/** Whether callers, operators and peers are heard on ports of their own. */
export function hasDistinctPorts(value: unknown): boolean {
  const draft = asDraft(value);
  const ports = [draft.callers?.port, draft.admin?.port, draft.vm?.peerPort].filter(
    (port) => port !== undefined && port !== 0,
  );
  return new Set(ports).size === ports.length;
}

/** Whether no two seed peers bear the same name. */
export function hasDistinctSeedNames(value: unknown): boolean {
  const names = listOf(asDraft(value).fleet?.seedPeers).map((seed) => seed?.name);
  return new Set(names).size === names.length;
}

function asDraft(value: unknown): Draft {
  return typeof value === "object" && value !== null ? value : {};
}

function listOf<T>(value: readonly T[] | undefined): readonly (T | null)[] {
  return Array.isArray(value) ? (value as readonly (T | null)[]) : [];
}
