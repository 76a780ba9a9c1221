import * as diagnostics from "../../../diagnostics/index.js";
import * as servers from "../../../servers/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";

const { Importance, LogEvent } = diagnostics;

/** Most servers that one log line names. */
const MAX_LOGGED_SERVERS_COUNT = 8;

/** What the limits on cold servers take from a VM's other parts, which are created later. */
export interface ColdLimitsParts {
  readonly directory: servers.ServerDirectory;
  readonly getView: () => currentViews.CurrentView;
  readonly getMesh: () => sharedView.PeerMesh;
}

/** Creates a VM's limits on requests to cold servers. */
export function createColdLimits(
  settings: types.GatewaySettings,
  { clock }: types.GatewayPorts,
  { directory, getView, getMesh }: ColdLimitsParts,
): servers.ColdLimits {
  return new servers.ColdLimits({
    clock,
    bounds: settings.coldBounds,
    findServer: (serverId) => directory.find(serverId),
    listServers: () => directory.listAll(),
    coldStartOf: (name) => getView().routingTable?.servicesByName.get(name)?.coldStart ?? null,
    rankOf: (serverId) => getMesh().rankFor(serverId, true),
  });
}

/** Takes the servers of a data centre to be cold when it is taken back, as their entries may tell later. */
export function assumeColdAfterEvacuations(
  directory: servers.ServerDirectory,
  coldLimits: Pick<servers.ColdLimits, "assumeCold">,
): Disposable {
  return directory.evacuations.onChange(({ evacuation, isInForce }) => {
    if (isInForce) return;
    for (const { entry } of directory.listAll())
      if (entry.dataCentre === evacuation.dataCentre) coldLimits.assumeCold(entry.id);
  });
}

/** Returns a function that logs which servers have turned cold or warm since its last call. */
export function createColdReporter(
  coldLimits: Pick<servers.ColdLimits, "listCold">,
  log: diagnostics.DecisionLog,
): () => void {
  let before: ReadonlySet<string> = new Set();
  return () => {
    const now = new Set(coldLimits.listCold());
    const cold = [...now].filter((serverId) => !before.has(serverId));
    const warm = [...before].filter((serverId) => !now.has(serverId));
    before = now;
    if (cold.length + warm.length === 0) return;
    log.record(Importance.StateChange, LogEvent.ColdServersChanged, {
      coldCount: now.size,
      cold: describe(cold),
      warm: describe(warm),
    });
  };
}

function describe(serverIds: readonly string[]): string {
  const named = serverIds.slice(0, MAX_LOGGED_SERVERS_COUNT).join(" ");
  const restCount = serverIds.length - MAX_LOGGED_SERVERS_COUNT;
  return restCount > 0 ? `${named} and ${restCount} more` : named;
}
