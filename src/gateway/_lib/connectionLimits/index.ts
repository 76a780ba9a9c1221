import type * as http from "node:http";
import type * as net from "node:net";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as repeats from "../../../_lib/repeat/index.js";
import * as resetSockets from "../../../_lib/resetSocket/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import type * as types from "../../types.js";
import * as statusAnswers from "../statusAnswers/index.js";

const { Importance, LogEvent } = diagnostics;

/** The servers of a VM that accept connections. */
export enum AcceptingServer {
  Callers = "callers",
  Peers = "peers",
  Readiness = "readiness",
  Metrics = "metrics",
}

/** Why a connection was closed unserved. */
export enum ConnectionRefusal {
  /** The server has as many connections as it may. */
  TooMany = "too-many",
  /** Too many bytes of incomplete request heads were held, and its head was the largest. */
  HeadBytes = "head-bytes",
  /** It had too many requests at a time. */
  Pipelined = "pipelined",
}

/**
 * Shares of a VM's sockets. The remaining 28 % are for connections to servers, the store and peers. A tunnel for
 * a peer takes one of the peers' and one of the remaining.
 */
const SOCKETS_RATIO_BY_SERVER: Readonly<Record<AcceptingServer, number>> = {
  [AcceptingServer.Callers]: 0.55,
  [AcceptingServer.Peers]: 0.15,
  [AcceptingServer.Readiness]: 0.01,
  [AcceptingServer.Metrics]: 0.01,
};

/** Fewest connections of a server, for VMs with few sockets. */
const MIN_CONNECTIONS_COUNT = 4;

/** Share of the byte budget for incomplete heads: some hundred heads of the largest size. */
const HEAD_BYTES_RATIO = 0.25;

/** Interval at which incomplete heads are measured: a VM's link carries about 6 MB in that time. */
const MEASURE_INTERVAL_MS = 50;

/** Shortest interval between two log lines about refused connections. */
const REPORT_INTERVAL_MS = 1_000;

interface Connection {
  readonly server: AcceptingServer;
  /** Requests that are still read, and answers that are not yet written. */
  activePartsCount: number;
  /** Bytes that had been read when the last request and its answer had ended. */
  readBytesAtEnd: number;
}

/** Connections of one server. */
export interface ConnectionCount {
  readonly server: AcceptingServer;
  readonly openCount: number;
}

/**
 * Bounds the connections that callers, peers and others may open, and the sum of the request heads that they have
 * begun and not ended: the HTTP parser keeps those in memory before any code of the gateway sees them.
 */
export class ConnectionLimits implements Disposable {
  private readonly connections = new Map<net.Socket, Connection>();
  private readonly reservation: byteBudgets.ByteReservation;
  /** Answers of the servers for checks and metrics. */
  private readonly ownAnswers: statusAnswers.StatusAnswers;
  /** Answers to peers: small ones, and replicas, which are counted once for all peers. */
  private readonly peerAnswers: statusAnswers.StatusAnswers;
  private readonly timer: Disposable;
  private readonly refusedCounts = new Map<AcceptingServer, number>();
  private reportedAtMs = -Infinity;

  constructor(
    private readonly maxSocketsCount: number,
    private readonly ports: Pick<types.GatewayPorts, "bytes" | "clock" | "log" | "meters">,
  ) {
    this.reservation = ports.bytes.open({ holder: byteBudgets.ByteHolder.RequestHeads });
    this.ownAnswers = new statusAnswers.StatusAnswers(ports.bytes);
    this.peerAnswers = new statusAnswers.StatusAnswers(ports.bytes);
    this.timer = repeats.repeat(ports.clock, MEASURE_INTERVAL_MS, () => {
      this.endLargestHeads();
      this.ownAnswers.measure();
      this.reportRefusals();
    });
  }

  /** Bounds the connections of a server that does not listen yet. */
  guard(name: AcceptingServer, server: http.Server): void {
    const share = SOCKETS_RATIO_BY_SERVER[name] * this.maxSocketsCount;
    server.maxConnections = Math.max(MIN_CONNECTIONS_COUNT, Math.floor(share));
    server.on("drop", () => this.recordRefusal(name, ConnectionRefusal.TooMany));
    server.on("connection", (socket) => {
      this.connections.set(socket, { server: name, activePartsCount: 0, readBytesAtEnd: 0 });
      socket.once("close", () => this.connections.delete(socket));
    });
    server.on("request", (request, response) => this.followRequest(request, response));
    if (name === AcceptingServer.Callers) return;
    const answers = name === AcceptingServer.Peers ? this.peerAnswers : this.ownAnswers;
    answers.guard(server, () => this.recordRefusal(name, ConnectionRefusal.Pipelined));
  }

  /** Bounds what the process holds for others. */
  get bytes(): byteBudgets.ByteBudget {
    return this.ports.bytes;
  }

  /** Counts no more heads of a connection that no longer carries HTTP. */
  release(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.activePartsCount = Infinity;
  }

  /** Lists the open connections of each server. */
  listCounts(): readonly ConnectionCount[] {
    const connections = [...this.connections.values()];
    return Object.values(AcceptingServer).map((server) => {
      const openCount = connections.filter((connection) => connection.server === server).length;
      return { server, openCount };
    });
  }

  [Symbol.dispose](): void {
    this.timer[Symbol.dispose]();
    this.reservation[Symbol.dispose]();
  }

  /** Counts no bytes as a head until a request is read and its answer written. */
  private followRequest(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request;
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    const onPartEnd = (): void => {
      connection.activePartsCount -= 1;
      if (connection.activePartsCount === 0) connection.readBytesAtEnd = socket.bytesRead;
    };
    connection.activePartsCount += 2;
    request.once("close", onPartEnd);
    response.once("close", onPartEnd);
  }

  private endLargestHeads(): void {
    const heads = [...this.connections].flatMap(([socket, connection]) => {
      const sizeBytes = socket.bytesRead - connection.readBytesAtEnd;
      const isHead = connection.activePartsCount === 0 && sizeBytes > 0;
      return isHead ? [{ socket, server: connection.server, sizeBytes }] : [];
    });
    let sumBytes = heads.reduce((sum, { sizeBytes }) => sum + sizeBytes, 0);
    const limitBytes = HEAD_BYTES_RATIO * this.ports.bytes.limitBytes;
    if (sumBytes > limitBytes) {
      heads.sort((a, b) => b.sizeBytes - a.sizeBytes);
      for (const { socket, server, sizeBytes } of heads) {
        if (sumBytes <= limitBytes) break;
        resetSockets.resetSocket(socket);
        this.recordRefusal(server, ConnectionRefusal.HeadBytes);
        sumBytes -= sizeBytes;
      }
    }
    this.reservation.resize(sumBytes);
  }

  private recordRefusal(server: AcceptingServer, reason: ConnectionRefusal): void {
    this.ports.meters.refusedConnections.inc({ server, reason });
    this.refusedCounts.set(server, (this.refusedCounts.get(server) ?? 0) + 1);
  }

  /** Logs how many connections were refused since the last line, by server. */
  private reportRefusals(): void {
    const nowMs = this.ports.clock.nowMs();
    if (this.refusedCounts.size === 0 || nowMs - this.reportedAtMs < REPORT_INTERVAL_MS) return;
    this.reportedAtMs = nowMs;
    for (const { server, openCount } of this.listCounts()) {
      const refusedCount = this.refusedCounts.get(server);
      if (refusedCount === undefined) continue;
      const fields = { server, refusedCount, openCount, headBytes: this.reservation.sizeBytes };
      this.ports.log.record(Importance.Notable, LogEvent.ConnectionsRefused, fields);
    }
    this.refusedCounts.clear();
  }
}
