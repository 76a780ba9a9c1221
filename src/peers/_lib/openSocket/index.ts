import * as events from "node:events";
import * as net from "node:net";
import * as tls from "node:tls";

import type * as types from "../../types.js";

/**
 * Opens a TCP connection, with mutual TLS if certificates are configured. TLS does not check the
 * host name in the certificate; the handshake after it checks the VM's name.
 *
 * @throws the socket's error, or the abort error of the signal
 */
export async function openSocket(
  endpoint: types.PeerEndpoint,
  options: types.PeerOptions,
  signal: AbortSignal,
): Promise<net.Socket> {
  const target = { host: endpoint.address, port: endpoint.port };
  const socket =
    options.tls === null
      ? net.connect(target)
      : tls.connect({ ...target, ...options.tls, checkServerIdentity: () => undefined });
  try {
    await events.EventEmitter.once(socket, options.tls === null ? "connect" : "secureConnect", {
      signal,
    });
  } catch (error) {
    socket.on("error", () => undefined);
    socket.destroy();
    throw error;
  }
  socket.setNoDelay(true);
  return socket;
}

/**
 * Listens for connections of peers.
 *
 * @param onSocket - called with each connection, after the TLS handshake if TLS is configured
 * @throws the system's error if the address cannot be bound
 */
export async function listenForSockets(
  options: types.PeerOptions,
  onSocket: (socket: net.Socket) => void,
): Promise<net.Server> {
  const server =
    options.tls === null
      ? net.createServer({ noDelay: true }, onSocket)
      : tls.createServer(
          {
            ...options.tls,
            requestCert: true,
            rejectUnauthorized: true,
            noDelay: true,
            handshakeTimeout: options.connectTimeoutMs,
          },
          onSocket,
        );
  server.listen({ host: options.listenAddress, port: options.listenPort });
  await events.EventEmitter.once(server, "listening");
  return server;
}
