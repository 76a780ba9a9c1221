import * as http from "node:http";
import type * as net from "node:net";

import * as hapi from "@hapi/hapi";

import type * as diagnostics from "../../../diagnostics/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as types from "../../types.js";
import * as connectionLimits from "../connectionLimits/index.js";
import * as listening from "../../../processes/listenWhenFree/index.js";
import * as operatorInterfaces from "../operatorInterface/index.js";

const READY_STATUS = 200;
const UNREADY_STATUS = 503;

/** What a VM serves to its peers by HTTP. */
interface PeerServices {
  readonly connections: connectionLimits.ConnectionLimits;
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  readonly tunnelServer: serverLinks.TunnelServer;
  readonly listPeers: () => readonly serverLinks.TunnelPeer[];
  /** Called with what a server has told a peer through a tunnel of this VM. */
  readonly onPeerStatement: (statement: serverLinks.PeerStatement) => void;
}

/**
 * Starts the HTTP servers for readiness checks, other VMs and metrics. Waits until the first two listen;
 * metrics are not needed to serve.
 *
 * @throws if `listening.signal` is aborted before
 */
export async function startStatusServers(
  settings: types.GatewaySettings,
  options: PeerServices & {
    readonly isReady: () => boolean;
    readonly meters: diagnostics.Meters;
    readonly operatorHandlers: operatorInterfaces.OperatorHandlers;
    readonly listening: Omit<listening.ListenOptions, "part">;
  },
): Promise<AsyncDisposable> {
  const metrics = createMetricsServer(options);
  const readiness = createReadinessServer(options.isReady);
  const peers = createPeerServer(options);
  const servers = [readiness, peers, metrics];
  const { AcceptingServer } = connectionLimits;
  options.connections.guard(AcceptingServer.Readiness, readiness.listener);
  options.connections.guard(AcceptingServer.Peers, peers.listener);
  options.connections.guard(AcceptingServer.Metrics, metrics.listener);
  for (const server of servers) await server.start();
  const disposing = new AbortController();
  const signal = AbortSignal.any([options.listening.signal, disposing.signal]);
  const listen = (server: hapi.Server, part: "readiness" | "peers" | "metrics"): Promise<void> =>
    listening.listenWhenFree(server.listener, settings[part], {
      ...options.listening,
      signal,
      part,
    });
  const stop = async (): Promise<void> => {
    disposing.abort();
    for (const server of servers) await server.stop({ timeout: 0 });
  };
  // Rejected only when the VM stops.
  listen(metrics, "metrics").catch(() => undefined);
  try {
    await Promise.all([listen(readiness, "readiness"), listen(peers, "peers")]);
  } catch (error) {
    await stop();
    throw error;
  }
  return { [Symbol.asyncDispose]: stop };
}

function createReadinessServer(isReady: () => boolean): hapi.Server {
  const server = createServer();
  server.route({
    method: "*",
    path: "/{path*}",
    handler: (_request, toolkit) =>
      toolkit.response().code(isReady() ? READY_STATUS : UNREADY_STATUS),
  });
  return server;
}

function createPeerServer({
  connections,
  replicas,
  tunnelServer,
  listPeers,
  onPeerStatement,
}: PeerServices): hapi.Server {
  const server = createServer();
  server.listener.on("connect", (_request, socket: net.Socket) => connections.release(socket));
  tunnelServer.attach(server.listener);
  serverLinks.addStatementRoute(server, listPeers, onPeerStatement);
  sharedView.addReplicaRoutes(server, replicas, connections.bytes);
  return server;
}

function createMetricsServer({
  meters,
  operatorHandlers,
}: {
  readonly meters: diagnostics.Meters;
  readonly operatorHandlers: operatorInterfaces.OperatorHandlers;
}): hapi.Server {
  const server = createServer();
  operatorInterfaces.addOperatorRoutes(server, operatorHandlers);
  server.route({
    method: "GET",
    path: "/metrics",
    handler: async (_request, toolkit) =>
      toolkit.response(await meters.text()).type("text/plain; version=0.0.4"),
  });
  return server;
}

/** Creates a server without an address: a server of hapi cannot be started again after it failed to listen. */
function createServer(): hapi.Server {
  const listener = http.createServer();
  const server = hapi.server({ listener, autoListen: false, compression: false });
  // The parser goes on with what a connection has sent before it was closed.
  server.ext("onRequest", ({ raw }, toolkit) =>
    raw.req.socket.destroyed ? toolkit.abandon : toolkit.continue,
  );
  return server;
}
