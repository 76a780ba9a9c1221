import type * as http from "node:http";
import type * as net from "node:net";

import type * as neverthrow from "neverthrow";

import * as resetSockets from "../../_lib/resetSocket/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as spliceSockets from "../_lib/spliceSockets/index.js";
import * as tunnelRequests from "../_lib/tunnelRequest/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/** Why a tunnel is not opened, as an HTTP status line. */
export enum TunnelDenial {
  Malformed = "400 Bad Request",
  /** The sender is no live VM of the fleet. */
  UnknownVm = "403 Forbidden",
  /** This VM does not know the start of the server, or knows it at another address. */
  UnknownServer = "404 Not Found",
  /** The server leaves, or wants no request of this VM. */
  UnavailableServer = "409 Conflict",
  /** This VM is cut off from the servers itself. */
  CutOff = "502 Bad Gateway",
  /** The server does not accept a connection of this VM. */
  ServerUnreachable = "504 Gateway Timeout",
  /** This VM is stopping, or serves as many tunnels as it can. */
  Overloaded = "503 Service Unavailable",
}

/** Dependencies of the tunnel server. */
export interface TunnelServerContext {
  readonly log: diagnostics.DecisionLog;
  readonly listPeers: () => readonly types.TunnelPeer[];
  /** Returns why this VM must not send to a server; null if it may. */
  readonly findDenial: (server: types.TunnelRequest["server"]) => TunnelDenial | null;
  /** Opens a connection over this VM's own links alone. */
  readonly connect: (
    server: types.TunnelRequest["server"],
    signal: AbortSignal,
  ) => Promise<neverthrow.Result<net.Socket, string>>;
}

const ESTABLISHED = "HTTP/1.1 200 Connection Established\r\n\r\n";

/**
 * Serves tunnels to peers that are cut off from the servers: connections to servers that this VM knows
 * and reaches itself.
 */
export class TunnelServer implements Disposable {
  private readonly sockets = new Set<net.Socket>();

  constructor(private readonly context: TunnelServerContext) {}

  /** Number of open tunnels. */
  get tunnelsCount(): number {
    return this.sockets.size;
  }

  /** Serves the CONNECT requests of an HTTP server. */
  attach(server: http.Server): void {
    server.on("connect", (message, socket: net.Socket, head: Buffer) => {
      // A caller that leaves before its tunnel is open needs no answer.
      socket.on("error", () => undefined);
      void this.serve(message, socket, head);
    });
  }

  [Symbol.dispose](): void {
    for (const socket of this.sockets) resetSockets.resetSocket(socket);
  }

  private async serve(
    message: http.IncomingMessage,
    socket: net.Socket,
    head: Buffer,
  ): Promise<void> {
    const decoded = tunnelRequests.decodeTunnelRequest(message);
    if (decoded.isErr()) {
      this.deny(socket, TunnelDenial.Malformed, { cause: decoded.error });
      return;
    }
    const { vmName, server, requestId } = decoded.value;
    const fields = { requestId, peer: vmName, serverId: server.id };
    const denial = this.findDenial(decoded.value, socket);
    if (denial !== null) {
      this.deny(socket, denial, fields);
      return;
    }
    this.sockets.add(socket);
    socket.once("close", () => this.sockets.delete(socket));
    const left = new AbortController();
    socket.once("close", () => left.abort());
    const opened = await this.context.connect(server, left.signal);
    if (opened.isErr()) {
      this.deny(socket, TunnelDenial.ServerUnreachable, { ...fields, cause: opened.error });
      return;
    }
    socket.write(ESTABLISHED);
    if (head.length > 0) socket.unshift(head);
    spliceSockets.spliceSockets(socket, opened.value);
    this.context.log.record(Importance.Routine, LogEvent.TunnelServed, fields);
  }

  private findDenial(
    { vmName, server }: tunnelRequests.ReceivedTunnelRequest,
    socket: net.Socket,
  ): TunnelDenial | null {
    const peer = this.context.listPeers().find((known) => known.vmName === vmName);
    if (peer === undefined || socket.remoteAddress !== peer.host) return TunnelDenial.UnknownVm;
    const isFull = this.sockets.size >= constants.MAX_SERVED_TUNNELS_COUNT;
    return isFull ? TunnelDenial.Overloaded : this.context.findDenial(server);
  }

  private deny(socket: net.Socket, denial: TunnelDenial, fields: diagnostics.LogFields): void {
    this.context.log.record(Importance.Notable, LogEvent.TunnelRefused, { ...fields, denial });
    socket.end(`HTTP/1.1 ${denial}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  }
}
