import type * as net from "node:net";

import * as jsonrpc from "json-rpc-2.0";

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";
import * as frameQueue from "../frameQueue/index.js";
import * as frameSource from "../frameSource/index.js";
import * as handshake from "../handshake/index.js";
import type * as linkContext from "../linkContext/index.js";
import * as messageCodec from "../messageCodec/index.js";
import * as peerLink from "../peerLink/index.js";
import * as remoteError from "../remoteError/index.js";
import * as writeFrames from "../writeFrames/index.js";

const LEAVE_METHOD: string = peerLink.LinkMethod.Leave;

interface InboundConnection {
  readonly socket: net.Socket;
  readonly claim: handshake.ConnectionClaim;
  readonly queue: frameQueue.FrameQueue;
  pendingCount: number;
  lastReceivedAtMs: number;
  isReplaced: boolean;
  isLeaving: boolean;
}

/**
 * The connections that other VMs have made to this one. Each has a task that reads requests,
 * passes them to their handlers in order and writes the responses.
 */
export class InboundConnections {
  private readonly sockets = new Set<net.Socket>();
  private readonly tasks = new Set<Promise<void>>();
  private readonly connections = new Map<string, InboundConnection>();
  private unauthenticatedCount = 0;

  constructor(
    private readonly server: jsonrpc.JSONRPCServer<string>,
    private readonly context: linkContext.LinkContext,
  ) {}

  /** Starts the task of an accepted connection; closes it if too many are in the handshake. */
  accept(socket: net.Socket): void {
    socket.on("error", () => undefined);
    if (this.unauthenticatedCount >= this.context.options.maxUnauthenticatedCount) {
      this.context.metrics.increment("peers.refused", 1, { reason: "too-many-unauthenticated" });
      socket.destroy();
      return;
    }
    this.sockets.add(socket);
    const task = this.serve(socket).finally(() => {
      this.sockets.delete(socket);
      this.tasks.delete(task);
    });
    this.tasks.add(task);
  }

  /** Closes all connections and waits for their tasks. */
  async close(): Promise<void> {
    for (const socket of this.sockets) socket.destroy();
    await Promise.all(this.tasks);
  }

  private async serve(socket: net.Socket): Promise<void> {
    const source = new frameSource.FrameSource(socket, constants.MAX_HANDSHAKE_FRAME_BYTES);
    try {
      const claim = await this.authenticate(socket, source);
      await this.serveVm(socket, source, claim);
    } catch (error) {
      this.logRefusal(error);
    } finally {
      socket.destroy();
    }
  }

  private async authenticate(
    socket: net.Socket,
    source: frameSource.FrameSource,
  ): Promise<handshake.ConnectionClaim> {
    const { options, clock } = this.context;
    this.unauthenticatedCount += 1;
    const timer = clock.schedule(options.connectTimeoutMs, () => socket.destroy());
    try {
      const { vmName, fleetKey } = options;
      const claim = await handshake.authenticateAsAcceptor(socket, source, vmName, fleetKey);
      source.setMaxFrameBytes(options.maxFrameBytes);
      return claim;
    } finally {
      timer[Symbol.dispose]();
      this.unauthenticatedCount -= 1;
    }
  }

  private async serveVm(
    socket: net.Socket,
    source: frameSource.FrameSource,
    claim: handshake.ConnectionClaim,
  ): Promise<void> {
    const queue = new frameQueue.FrameQueue(this.context.options);
    const connection: InboundConnection = {
      socket,
      claim,
      queue,
      pendingCount: 0,
      lastReceivedAtMs: this.context.clock.nowMs(),
      isReplaced: false,
      isLeaving: false,
    };
    if (!this.register(connection)) return;
    const closed = new AbortController();
    socket.once("close", () => queue.wake());
    const writer = writeFrames
      .writeFrames(socket, queue, closed.signal, (bytes) =>
        this.context.metrics.increment("peers.sent_bytes", bytes),
      )
      .catch(() => socket.destroy());
    try {
      await this.readRequests(connection, source);
    } finally {
      socket.destroy();
      closed.abort();
      await writer;
      this.unregister(connection);
    }
  }

  /**
   * Replaces the VM's previous connection with a newer one, so that its messages stay in order.
   *
   * @returns false if the previous connection is retained, and this one has to be closed
   */
  private register(connection: InboundConnection): boolean {
    const { from } = connection.claim;
    const older = this.connections.get(from);
    if (older !== undefined && this.isRetained(older, connection.claim)) return false;
    this.connections.set(from, connection);
    if (older === undefined) return true;
    older.isReplaced = true;
    older.socket.destroy();
    this.context.onLost(from);
    return true;
  }

  /**
   * Whether the present connection is retained when another one from the same VM is authenticated.
   * If both belong to one process, the one with the higher number is retained. Otherwise the one of
   * the process that started later is retained, unless it is the present one and silent.
   */
  private isRetained(present: InboundConnection, other: handshake.ConnectionClaim): boolean {
    if (present.claim.startedAtWallMs === other.startedAtWallMs) {
      return present.claim.connectionNumber > other.connectionNumber;
    }
    const silentMs = this.context.clock.nowMs() - present.lastReceivedAtMs;
    const hasRecentData = silentMs < this.context.options.silenceTimeoutMs;
    return hasRecentData && present.claim.startedAtWallMs > other.startedAtWallMs;
  }

  private unregister(connection: InboundConnection): void {
    const { from } = connection.claim;
    if (this.connections.get(from) === connection) this.connections.delete(from);
    if (connection.isReplaced || connection.isLeaving) return;
    this.context.onLost(from);
  }

  private async readRequests(
    connection: InboundConnection,
    source: frameSource.FrameSource,
  ): Promise<void> {
    const { maxPendingCount } = this.context.options;
    for (;;) {
      const frames = await source.nextFrames();
      if (frames === undefined || connection.isReplaced) return;
      connection.lastReceivedAtMs = this.context.clock.nowMs();
      for (const frame of frames) this.receive(connection, frame);
      await connection.queue.waitForCapacity();
      while (connection.pendingCount > maxPendingCount && !connection.socket.destroyed) {
        await connection.queue.waitForChange();
      }
    }
  }

  private receive(connection: InboundConnection, frame: Buffer): void {
    const message = messageCodec.decodeMessage(frame);
    if (message.isErr()) throw message.error;
    const request = message.value;
    if (!jsonrpc.isJSONRPCRequest(request))
      throw new TypeError(
        `VM ${connection.claim.from} sent a message that is neither a JSON-RPC request nor a notification`,
      );
    if (request.method === LEAVE_METHOD) connection.isLeaving = true;
    const { queue } = connection;
    const { maxFrameBytes } = this.context.options;
    connection.pendingCount += 1;
    void this.server.receive(request, connection.claim.from).then((response) => {
      connection.pendingCount -= 1;
      if (connection.pendingCount === this.context.options.maxPendingCount) queue.wake();
      if (response !== null) queue.push(encodeLimited(response, maxFrameBytes));
    });
  }

  private logRefusal(error: unknown): void {
    const isProtocolError = error instanceof stepError.StepError || error instanceof TypeError;
    if (!isProtocolError) return;
    this.context.metrics.increment("peers.refused", 1, { reason: "bad-frame" });
    const peer = error instanceof stepError.StepError ? error.peer : undefined;
    this.context.logger.warn(
      { peer, reason: error.message },
      "inbound connection closed after a handshake or message error",
    );
  }
}

/** Encodes a response; one over the frame limit is replaced by an error response. */
function encodeLimited(response: jsonrpc.JSONRPCResponse, maxFrameBytes: number): Buffer {
  const frame = messageCodec.encodeResponse(response);
  if (frame.length <= maxFrameBytes) return frame;
  const error = new stepError.StepError(
    `response of ${frame.length} bytes exceeds the limit of ${maxFrameBytes} bytes`,
    {
      code: stepError.ErrorCode.TooLarge,
      step: "peer.answer",
      execution: stepError.ExecutionState.Ran,
    },
  );
  return messageCodec.encodeResponse(remoteError.toErrorResponse(response.id, error));
}
