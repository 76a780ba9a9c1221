import type * as http from "node:http";
import type * as net from "node:net";

import * as constants from "../../constants.js";

/**
 * The parser's limit on the heads of requests, which follows the configuration's. Node reads it when a connection
 * is opened, and keeps that limit for as long as the connection lasts. Before the first configuration the limit is the
 * largest there may be, and connections beyond a small number are closed at once.
 */
export class HeadLimits {
  private readonly server: http.Server & { maxHeaderSize: number };
  private readonly bytesBySocket = new WeakMap<net.Socket, number>();
  private isConfigured = false;
  private unconfiguredCount = 0;

  constructor(server: http.Server) {
    this.server = Object.assign(server, { maxHeaderSize: constants.MAX_HEAD_BYTES });
    server.on("connection", (socket) => {
      if (!this.isConfigured && !this.acceptUnconfigured(socket)) return;
      this.bytesBySocket.set(socket, this.server.maxHeaderSize);
    });
  }

  /** Applies the configuration's limit to connections that are opened from now on. */
  apply(maxHeaderBytes: number): void {
    const limitBytes = maxHeaderBytes + constants.HEAD_MARGIN_BYTES;
    this.isConfigured = true;
    this.server.maxHeaderSize = Math.min(limitBytes, constants.MAX_HEAD_BYTES);
  }

  /** Whether the limit was raised since a connection was opened, so that a larger head needs a new one. */
  wasRaisedFor(socket: net.Socket): boolean {
    return (this.bytesBySocket.get(socket) ?? Infinity) < this.server.maxHeaderSize;
  }

  private acceptUnconfigured(socket: net.Socket): boolean {
    if (this.unconfiguredCount >= constants.MAX_UNCONFIGURED_CONNECTIONS_COUNT) {
      socket.destroy();
      // Counted as those beyond `maxConnections` are.
      this.server.emit("drop");
      return false;
    }
    this.unconfiguredCount += 1;
    socket.once("close", () => (this.unconfiguredCount -= 1));
    return true;
  }
}
