import type * as http from "node:http";
import type * as net from "node:net";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as resetSockets from "../../../_lib/resetSocket/index.js";

/** Most requests on a connection that are not answered yet; VMs, checks and collectors of metrics send one at a time. */
const MAX_OPEN_REQUESTS_COUNT = 4;

interface Connection {
  readonly responses: Set<http.ServerResponse>;
  readonly reservation: byteBudgets.ByteReservation;
}

/**
 * Bounds what the answers take that clients of a VM's status servers have not read: each connection has few requests
 * at a time, and the answers of a size of their own are counted.
 */
export class StatusAnswers {
  private readonly connections = new Map<net.Socket, Connection>();

  constructor(private readonly bytes: byteBudgets.ByteBudget) {}

  /**
   * Follows the answers of a server.
   *
   * @param onRefused - called when a connection is closed for too many requests
   */
  guard(server: http.Server, onRefused: () => void): void {
    server.on("request", (request, response) => {
      const { socket } = request;
      const { responses } = this.connections.get(socket) ?? this.add(socket);
      responses.add(response);
      response.once("close", () => responses.delete(response));
      if (responses.size <= MAX_OPEN_REQUESTS_COUNT || socket.destroyed) return;
      resetSockets.resetSocket(socket);
      onRefused();
    });
  }

  /** Counts what clients have not read now; may close the connections of those that have the most. */
  measure(): void {
    for (const [socket, { responses, reservation }] of this.connections) {
      let sizeBytes = socket.writableLength;
      // An answer that waits for the one before it holds its bytes itself.
      for (const { socket: assigned, writableLength } of responses)
        if (assigned === null) sizeBytes += writableLength;
      reservation.resize(sizeBytes);
    }
  }

  private add(socket: net.Socket): Connection {
    const reservation = this.bytes.open({
      holder: byteBudgets.ByteHolder.StatusAnswers,
      onEvicted: () => resetSockets.resetSocket(socket),
    });
    const connection = { responses: new Set<http.ServerResponse>(), reservation };
    this.connections.set(socket, connection);
    socket.once("close", () => {
      this.connections.delete(socket);
      reservation[Symbol.dispose]();
    });
    return connection;
  }
}
