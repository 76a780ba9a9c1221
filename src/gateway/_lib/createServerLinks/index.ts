import * as crashes from "../../../crashes/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import type * as servers from "../../../servers/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import type * as types from "../../types.js";

const { TunnelDenial } = serverLinks;

/** What the links to servers depend on. */
export interface LinksContext {
  readonly settings: types.GatewaySettings;
  readonly ports: types.GatewayPorts;
  readonly directory: servers.ServerDirectory;
  readonly backpressure: servers.ServerBackpressure;
  readonly listPeers: () => readonly sharedView.Peer[];
  readonly isStopping: () => boolean;
}

/** A VM's connections to servers, and those that it opens for its peers. */
export interface ServerLinks {
  readonly connector: serverLinks.ServerConnector;
  readonly tunnelServer: serverLinks.TunnelServer;
  /** Finds out whether a server listens, which a cut of this VM does not change. */
  readonly probe: crashes.CrashMonitorContext["probe"];
}

/** Creates a VM's links to servers. */
export function createServerLinks(context: LinksContext): ServerLinks {
  const { ports, settings, directory, listPeers } = context;
  const { clock, log, dial } = ports;
  const connector = new serverLinks.ServerConnector({
    clock,
    log,
    dial,
    listPeers,
    random: ports.random.fork(),
    vmName: settings.vmName,
    dataCentre: settings.dataCentre,
    listServers: () =>
      directory.listAll().flatMap(({ entry, leaving }) => (leaving === null ? [entry] : [])),
  });
  const tunnelServer = new serverLinks.TunnelServer({
    log,
    listPeers,
    connect: (server, signal) => connector.connectDirectly(server, signal),
    findDenial: (server) => findDenial(context, connector, server),
  });
  const probe = async (
    server: crashes.ServerStart,
    timeoutMs: number,
  ): Promise<crashes.ListenerState> => {
    const state = await crashes.probeListener(dial, server, timeoutMs);
    const entry = directory.find(server.id)?.entry;
    if (state !== crashes.ListenerState.Refuses || entry === undefined) return state;
    const options = { requestId: "", signal: AbortSignal.timeout(timeoutMs) };
    const isReached = await connector.isReachableByPeer(entry, options);
    return isReached ? crashes.ListenerState.Listens : state;
  };
  return { connector, tunnelServer, probe };
}

/** Returns why this VM must not send to a server for a peer; null if it may. */
function findDenial(
  { directory, backpressure, isStopping }: LinksContext,
  connector: serverLinks.ServerConnector,
  server: serverLinks.TunnelRequest["server"],
): serverLinks.TunnelDenial | null {
  if (isStopping()) return TunnelDenial.Overloaded;
  if (connector.isCutOff) return TunnelDenial.CutOff;
  const known = directory.find(server.id);
  const isSameStart =
    known?.entry.bornAtWallMs === server.bornAtWallMs &&
    known.entry.host === server.host &&
    known.entry.port === server.port;
  if (!isSameStart) return TunnelDenial.UnknownServer;
  const isUnavailable = known.leaving !== null || backpressure.pauseMs(server) > 0;
  return isUnavailable ? TunnelDenial.UnavailableServer : null;
}
