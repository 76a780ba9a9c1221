import type * as http from "node:http";

import type * as forwardableAnswers from "../forwardableAnswer/index.js";
import * as unreadAnswers from "../unreadAnswer/index.js";
import * as refusals from "../createRefusal/index.js";
import * as types from "../../types.js";

const STREAM_STATUS = 200;

/**
 * The response to one caller. Only the first answer, refusal or stream start is sent; it closes the
 * connection if `closesConnection`, which is called once, returns true.
 */
export class CallSink {
  private isSendingBody = false;
  private sentFirstByteAtMs: number | null = null;
  private unread: unreadAnswers.UnreadAnswer | null = null;
  /** Head of a stream of which nothing was sent yet; null otherwise. */
  private streamHeaders: readonly string[] | null = null;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly codec: types.WireCodec,
    private readonly requestId: string,
    private readonly nowMs: () => number,
    private readonly closesConnection: () => boolean,
    private readonly context: unreadAnswers.UnreadContext,
  ) {}

  /** Whether bytes of an answer were sent; until then, another answer is possible. */
  get hasStarted(): boolean {
    return this.response.headersSent;
  }

  /** Whether the whole answer was sent, or is being sent. */
  get isComplete(): boolean {
    return this.response.writableEnded || (this.isSendingBody && !this.response.destroyed);
  }

  /** Status of the answer that was sent; null before. */
  get sentStatus(): number | null {
    return this.hasStarted ? this.response.statusCode : null;
  }

  /** When the head of the answer was sent, on the monotonic clock; null before. */
  get firstByteAtMs(): number | null {
    return this.sentFirstByteAtMs;
  }

  /** Sends a server's complete answer, or a refusal if its body was given up meanwhile. */
  answer({ status, headers, body }: forwardableAnswers.ForwardableAnswer): void {
    if (body.wasEvicted) {
      const { Execution, RefusalReason } = types;
      const { OutcomeUnknown } = RefusalReason;
      this.refuse(refusals.createRefusal(OutcomeUnknown, Execution.MayHaveRun));
    }
    if (this.hasStarted) return;
    const { chunks, sizeBytes } = body;
    this.writeHead(status, headers, sizeBytes);
    body[Symbol.dispose]();
    if (chunks.length > 1) {
      this.isSendingBody = true;
      void this.sendBody([...chunks], sizeBytes);
      return;
    }
    this.response.end(chunks[0]);
    this.countUnread();
  }

  /**
   * Sends a refusal of this VM, without a body.
   *
   * @param received - resolves when the request is received; until then the connection stays open, as a caller that
   * still sends would lose the answer with it
   */
  refuse(refusal: types.Refusal, received: Promise<void> | null = null): void {
    if (this.hasStarted) return;
    const headers = this.codec.encodeRefusal({ id: this.requestId }, refusal.retryAfterMs);
    this.writeHead(refusal.status, headers, 0);
    if (received === null) {
      this.response.end();
      return;
    }
    this.response.flushHeaders();
    void received.then(() => this.response.end());
  }

  /** Prepares a stream. Its head is sent with its first bytes, so that the call can be refused until then. */
  startStream(headers: readonly string[]): void {
    if (!this.hasStarted) this.streamHeaders = headers;
  }

  /** Sends bytes of a stream; returns false if `waitForDrain` must be awaited before the next write. */
  write(bytes: Buffer): boolean {
    this.sendStreamHead();
    const isDrained = this.response.write(bytes);
    if (!isDrained) this.countUnread();
    return isDrained;
  }

  /** Resolves when the send buffer is empty or the caller has disconnected. */
  async waitForDrain(): Promise<void> {
    await this.awaitDrain();
    this.unread?.resize(0);
  }

  private awaitDrain(): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        this.response.off("drain", finish);
        this.response.off("close", finish);
        resolve();
      };
      this.response.once("drain", finish);
      this.response.once("close", finish);
    });
  }

  /** Ends a complete stream. */
  end(): void {
    this.sendStreamHead();
    this.response.end();
  }

  /**
   * Ends a call that is not served. Closes the connection if a part of an answer was sent, so that the caller
   * detects that it is incomplete; otherwise the call is refused.
   */
  failWith(refuse: () => void): void {
    if (this.hasStarted) this.response.destroy();
    else refuse();
  }

  /** Sends a large body chunk by chunk as the caller reads, so that what it has read is held no longer. */
  private async sendBody(chunks: Buffer[], sizeBytes: number): Promise<void> {
    let unsentBytes = sizeBytes;
    while (!this.response.destroyed) {
      const chunk = chunks.shift();
      if (chunk === undefined) break;
      unsentBytes -= chunk.length;
      const isDrained = this.response.write(chunk);
      this.countUnread(unsentBytes);
      if (!isDrained) await this.awaitDrain();
    }
    this.response.end();
  }

  /** Counts what the caller has not read yet, until it has, or its connection is closed. */
  private countUnread(unsentBytes = 0): void {
    const unreadBytes = this.response.writableLength + unsentBytes;
    if (unreadBytes === 0) return;
    this.unread ??= new unreadAnswers.UnreadAnswer(this.context, this.requestId, this.response);
    this.unread.resize(unreadBytes);
  }

  private sendStreamHead(): void {
    const { streamHeaders } = this;
    this.streamHeaders = null;
    if (streamHeaders !== null && !this.hasStarted)
      this.writeHead(STREAM_STATUS, streamHeaders, null);
  }

  private writeHead(status: number, headers: readonly string[], sizeBytes: number | null): void {
    this.sentFirstByteAtMs = this.nowMs();
    const allHeaders = [...headers];
    if (sizeBytes !== null) allHeaders.push("Content-Length", String(sizeBytes));
    if (this.closesConnection()) allHeaders.push("Connection", "close");
    this.response.writeHead(status, allHeaders);
  }
}
