import * as crashes from "../../../crashes/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import type * as servers from "../../../servers/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import type * as types from "../../types.js";

const { PeerVerdict, TunnelDenial } = serverLinks;

const { ListenerState } = crashes;

/** What peers show about a server, by what this VM has seen of it. */
const STATE_BY_VERDICT: Readonly<
  Record<
    crashes.ListenerState.Refuses | crashes.ListenerState.Silent,
    Readonly<Record<serverLinks.PeerVerdict, crashes.ListenerState>>
  >
> = {
  [ListenerState.Refuses]: {
    [PeerVerdict.Reached]: ListenerState.Listens,
    [PeerVerdict.Refused]: ListenerState.Refuses,
    [PeerVerdict.Unreached]: ListenerState.Refuses,
    [PeerVerdict.Unknown]: ListenerState.Silent,
  },
  // This VM may be cut off from the server, or slow: only a connection that was refused shows its end.
  [ListenerState.Silent]: {
    [PeerVerdict.Reached]: ListenerState.Listens,
    [PeerVerdict.Refused]: ListenerState.Refuses,
    [PeerVerdict.Unreached]: ListenerState.Silent,
    [PeerVerdict.Unknown]: ListenerState.Silent,
  },
};

/** What the links to servers depend on. */
export interface LinksContext {
  readonly settings: types.GatewaySettings;
  readonly ports: types.GatewayPorts;
  readonly directory: servers.ServerDirectory;
  readonly coldLimits: Pick<servers.ColdLimits, "recordRefusedConnection">;
  readonly backpressure: servers.ServerBackpressure;
  readonly places: Pick<servers.BrittlePlaces, "lend">;
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
    requestTunnel: serverLinks.createTunnelRequester(clock, settings.vmName, settings.peers.host),
    random: ports.random.fork(),
    vmName: settings.vmName,
    dataCentre: settings.dataCentre,
    onRefused: (serverId) => context.coldLimits.recordRefusedConnection(serverId),
    listServers: () =>
      directory.listAll().flatMap((known) => (directory.acceptsWork(known) ? [known.entry] : [])),
  });
  const tunnelServer = new serverLinks.TunnelServer({
    log,
    bytes: ports.bytes,
    meters: ports.meters,
    listPeers,
    findReachingVm: () => connector.reachingVm,
    lendPlace: async (server, waitMs, signal) => {
      const entry = directory.find(server.id)?.entry;
      return entry === undefined ? null : context.places.lend(entry, waitMs, signal);
    },
    hasRefused: (serverId) => connector.hasRefused(serverId),
    connect: (server, signal) => connector.connectDirectly(server, signal),
    findDenial: (server) => findDenial(context, connector, server),
  });
  const probe = async (
    server: crashes.ServerStart,
    timeoutMs: number,
  ): Promise<crashes.ListenerState> => {
    const state = await crashes.probeListener(dial, server, timeoutMs);
    const entry = directory.find(server.id)?.entry;
    if (state === ListenerState.Listens || entry === undefined) return state;
    return STATE_BY_VERDICT[state][await connector.probeByPeers(entry)];
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
  if (connector.isKnownUnreachable(server.id)) return TunnelDenial.CutOff;
  const known = directory.find(server.id);
  const isSameStart =
    known?.entry.bornAtWallMs === server.bornAtWallMs &&
    known.entry.host === server.host &&
    known.entry.port === server.port;
  if (!isSameStart) return TunnelDenial.UnknownServer;
  const isUnavailable = !directory.acceptsWork(known) || backpressure.pauseMs(server) > 0;
  return isUnavailable ? TunnelDenial.UnavailableServer : null;
}
