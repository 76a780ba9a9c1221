import * as jsonrpc from "json-rpc-2.0";
import * as neverthrow from "neverthrow";

import * as stepError from "../../../_lib/stepError/index.js";
import * as frameQueue from "../frameQueue/index.js";
import type * as linkContext from "../linkContext/index.js";
import * as linkErrors from "../linkErrors/index.js";
import * as messageCodec from "../messageCodec/index.js";
import * as openPeerConnection from "../openPeerConnection/index.js";
import * as remoteError from "../remoteError/index.js";
import * as writeFrames from "../writeFrames/index.js";

/** RPC methods of the peer protocol itself. */
export enum LinkMethod {
  Ping = "rpc.ping",
  /** Leave message: the dialler closes the connection because it is idle. */
  Leave = "rpc.bye",
}

interface PendingCall {
  /** Sequence number of the request's frame in the queue; shows whether the frame was written. */
  readonly sequence: number;
  readonly timer: Disposable;
}

/**
 * Outbound messages to one other VM: a bounded queue, and a task that connects, writes frames and
 * reads responses, and reconnects after a loss. The task runs only while frames are queued or a
 * connection is open.
 */
export class PeerLink {
  private readonly queue: frameQueue.FrameQueue;
  private readonly client: jsonrpc.JSONRPCClient<Buffer>;
  private readonly pending = new Map<number, PendingCall>();
  private readonly stop = new AbortController();
  private connection: openPeerConnection.OpenConnection | undefined;
  private task: Promise<void> | undefined;
  private nextId = 1;
  private connectionNumber = 0;
  private failuresCount = 0;
  private retryNotBeforeMs = 0;

  constructor(
    private readonly vmName: string,
    private readonly context: linkContext.LinkContext,
  ) {
    this.queue = new frameQueue.FrameQueue(context.options);
    this.client = new jsonrpc.JSONRPCClient<Buffer>((_request, frame) => this.enqueue(frame));
  }

  /** Sends a request and waits for its response, at most for the timeout. */
  async call(
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<neverthrow.Result<unknown, stepError.StepError>> {
    const id = this.nextId++;
    const prepared = this.encodeIfAccepted(() => messageCodec.encodeRequest(id, method, params));
    if (prepared.isErr()) return neverthrow.err(prepared.error);
    const timer = this.context.deadlines.add(timeoutMs, () =>
      this.expireCall(id, method, timeoutMs),
    );
    this.pending.set(id, { sequence: this.queue.addedCount + 1, timer });
    const request: jsonrpc.JSONRPCRequest = { jsonrpc: "2.0", id, method, params: null };
    const response = await this.client.requestAdvanced(request, prepared.value);
    timer[Symbol.dispose]();
    this.pending.delete(id);
    if (response.error === undefined) return neverthrow.ok(response.result as unknown);
    return neverthrow.err(remoteError.fromErrorResponse(response.error, this.vmName));
  }

  /** Queues a notification; returns false if it was not queued. */
  notify(method: string, params: unknown): boolean {
    const prepared = this.encodeIfAccepted(() => messageCodec.encodeNotification(method, params));
    if (prepared.isErr()) return false;
    this.enqueue(prepared.value);
    return true;
  }

  /**
   * Pings a connection that does not answer, closes it when the silence timeout has passed, and
   * closes an idle one. Called at each liveness check.
   */
  checkLiveness(nowMs: number): void {
    const connection = this.connection;
    if (connection === undefined) return;
    const { options } = this.context;
    if (connection.unansweredSinceMs !== null) {
      const silentMs = nowMs - connection.unansweredSinceMs;
      if (silentMs > options.silenceTimeoutMs) this.closeSilent(connection, silentMs);
      else if (silentMs > options.pingAfterMs && !connection.isPinged) this.ping(connection);
      return;
    }
    const isIdle = nowMs - connection.lastUsedAtMs > options.idleCloseMs;
    if (isIdle && this.pending.size === 0 && this.queue.isEmpty) this.closeIdle(connection);
  }

  /** Restarts the measurement of silence after a pause of this process. */
  resetSilence(nowMs: number): void {
    if (this.connection === undefined) return;
    if (this.connection.unansweredSinceMs === null) return;
    this.connection.unansweredSinceMs = nowMs;
    this.connection.isPinged = false;
  }

  /** Closes the connection and fails all pending calls. */
  async close(): Promise<void> {
    this.stop.abort(new Error("peer network closed"));
    this.connection?.socket.destroy();
    this.queue.wake();
    await this.task;
    this.failPendingCalls(`the peer network was closed before VM ${this.vmName} answered`);
  }

  /** Encodes a message unless the link is closed or in backoff, or a limit is exceeded. */
  private encodeIfAccepted(encode: () => Buffer): neverthrow.Result<Buffer, stepError.StepError> {
    if (this.stop.signal.aborted)
      return neverthrow.err(
        linkErrors.createNotSentError(
          this.vmName,
          `no message can be sent to VM ${this.vmName}: the peer network is closed`,
        ),
      );
    const waitMs = this.retryNotBeforeMs - this.context.clock.nowMs();
    if (waitMs > 0 && this.task === undefined) {
      const message = `the last attempt to connect to VM ${this.vmName} failed; retry in ${Math.ceil(waitMs)} ms`;
      return neverthrow.err(linkErrors.createNotSentError(this.vmName, message, waitMs));
    }
    if (this.queue.isFull) {
      this.context.metrics.increment("peers.queue_full");
      return neverthrow.err(linkErrors.createQueueFullError(this.vmName));
    }
    const frame = encode();
    const maxBytes = this.context.options.maxFrameBytes;
    if (frame.length <= maxBytes) return neverthrow.ok(frame);
    return neverthrow.err(linkErrors.createTooLargeError(this.vmName, frame.length));
  }

  private enqueue(frame: Buffer): void {
    this.queue.push(frame);
    this.startTask();
  }

  private startTask(): void {
    this.task ??= this.sendQueued().finally(() => {
      this.task = undefined;
      // A frame may have been queued after the task found the queue empty.
      if (!this.queue.isEmpty && !this.stop.signal.aborted) this.startTask();
    });
  }

  private async sendQueued(): Promise<void> {
    while (!this.stop.signal.aborted && !this.queue.isEmpty) {
      const connection = await this.connect();
      if (connection === undefined) return;
      await this.useConnection(connection);
    }
  }

  private async connect(): Promise<openPeerConnection.OpenConnection | undefined> {
    try {
      const connection = await openPeerConnection.openPeerConnection(
        this.vmName,
        ++this.connectionNumber,
        this.context,
        this.stop.signal,
      );
      this.failuresCount = 0;
      this.retryNotBeforeMs = 0;
      this.context.metrics.increment("peers.connected");
      return connection;
    } catch (error) {
      this.onConnectFailed(error);
      return undefined;
    }
  }

  private async useConnection(connection: openPeerConnection.OpenConnection): Promise<void> {
    const { socket, closed } = connection;
    this.connection = connection;
    const destroy = (): unknown => socket.destroy();
    const writer = writeFrames
      .writeFrames(socket, this.queue, closed.signal, (bytes) => this.onWritten(connection, bytes))
      .catch(destroy);
    await this.readAnswers(connection).catch(destroy);
    this.connection = undefined;
    socket.destroy();
    closed.abort();
    await writer;
    if (connection.isIdleClosed || this.stop.signal.aborted) return;
    this.failWrittenCalls();
    this.context.metrics.increment("peers.lost");
    this.context.onLost(this.vmName);
  }

  private async readAnswers(connection: openPeerConnection.OpenConnection): Promise<void> {
    for (;;) {
      const frames = await connection.source.nextFrames();
      if (frames === undefined) return;
      connection.unansweredSinceMs = null;
      connection.isPinged = false;
      for (const frame of frames) this.receive(frame);
    }
  }

  private receive(frame: Buffer): void {
    const message = messageCodec.decodeMessage(frame);
    if (message.isErr()) throw message.error;
    if (!jsonrpc.isJSONRPCResponse(message.value))
      throw linkErrors.createNotSentError(
        this.vmName,
        `VM ${this.vmName} sent a message that is not a JSON-RPC response`,
      );
    this.client.receive(message.value);
  }

  private onWritten(connection: openPeerConnection.OpenConnection, writtenBytes: number): void {
    this.context.metrics.increment("peers.sent_bytes", writtenBytes);
    const nowMs = this.context.clock.nowMs();
    connection.lastUsedAtMs = nowMs;
    connection.unansweredSinceMs ??= nowMs;
  }

  private ping(connection: openPeerConnection.OpenConnection): void {
    connection.isPinged = true;
    this.enqueue(messageCodec.encodeRequest(0, LinkMethod.Ping, null));
  }

  private closeSilent(connection: openPeerConnection.OpenConnection, silentMs: number): void {
    this.context.metrics.increment("peers.silent");
    this.context.logger.warn(
      { peer: this.vmName, silentMs },
      "connection closed: no data was received within the silence timeout",
    );
    connection.socket.destroy();
  }

  private closeIdle(connection: openPeerConnection.OpenConnection): void {
    connection.isIdleClosed = true;
    connection.closed.abort();
    connection.socket.end(messageCodec.encodeNotification(LinkMethod.Leave, null));
  }

  private onConnectFailed(error: unknown): void {
    const { options, random, clock, logger } = this.context;
    const ceilingMs = Math.min(
      options.maxBackoffMs,
      options.minBackoffMs * 2 ** this.failuresCount,
    );
    this.retryNotBeforeMs = clock.nowMs() + ceilingMs * (0.5 + random.next() / 2);
    this.failuresCount += 1;
    this.queue.clear();
    const message = error instanceof Error ? error.message : "unknown failure";
    this.failPendingCalls(
      `cannot connect to VM ${this.vmName}: ${message}`,
      stepError.ExecutionState.NotRun,
    );
    if (this.failuresCount > 1) return;
    logger.warn({ peer: this.vmName, reason: message }, "peer unreachable");
    this.context.metrics.increment("peers.unreachable");
    this.context.onLost(this.vmName);
  }

  /** Fails the calls whose frames were written; queued frames are sent on the next connection. */
  private failWrittenCalls(): void {
    for (const [id, call] of this.pending) {
      if (call.sequence > this.queue.takenCount) continue;
      this.failCall(
        id,
        `the connection to VM ${this.vmName} was lost before a response arrived`,
        stepError.ExecutionState.Unknown,
      );
    }
  }

  private failPendingCalls(message: string, execution = stepError.ExecutionState.Unknown): void {
    for (const id of this.pending.keys()) this.failCall(id, message, execution);
  }

  private expireCall(id: number, method: string, timeoutMs: number): void {
    const call = this.pending.get(id);
    if (call === undefined) return;
    this.failCall(
      id,
      `VM ${this.vmName} did not answer ${method} within ${timeoutMs} ms`,
      stepError.ExecutionState.Unknown,
      stepError.ErrorCode.DeadlineExceeded,
    );
  }

  private failCall(
    id: number,
    message: string,
    execution: stepError.ExecutionState,
    code = stepError.ErrorCode.PeerUnreachable,
  ): void {
    const error = linkErrors.createCallFailedError(this.vmName, message, execution, code);
    this.client.receive(remoteError.toErrorResponse(id, error));
  }
}
