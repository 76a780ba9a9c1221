import type * as http from "node:http";

import type * as types from "../../types.js";

const STREAM_STATUS = 200;

/** The caller's end of a call: everything that is answered goes through here, once. */
export class CallSink {
  private firstByteAt: number | null = null;

  constructor(
    private readonly response: http.ServerResponse,
    private readonly codec: types.WireCodec,
    private readonly requestId: string,
    private readonly nowMs: () => number,
    private readonly isClosing: () => boolean,
  ) {}

  /** Whether the head of an answer went out. */
  get hasBegun(): boolean {
    return this.response.headersSent;
  }

  /** When the first byte of the answer went out; null before. */
  get firstByteAtMs(): number | null {
    return this.firstByteAt;
  }

  /** Answers with a server's whole answer. */
  answer(status: number, headers: readonly string[], body: Buffer): void {
    if (this.hasBegun) return;
    this.begin(status, headers, body.length);
    this.response.end(body);
  }

  /** Answers with words of the relay's own. */
  refuse(refusal: types.Refusal): void {
    if (this.hasBegun) return;
    const headers = this.codec.encodeRefusal({ id: this.requestId }, refusal.retryAfterMs);
    this.begin(refusal.status, headers, 0);
    this.response.end();
  }

  /** Begins a stream. */
  beginStream(headers: readonly string[]): void {
    if (!this.hasBegun) this.begin(STREAM_STATUS, headers, null);
  }

  /** Passes bytes of a stream on; false asks to pause until drained. */
  write(bytes: Buffer): boolean {
    return this.response.write(bytes);
  }

  /** Resolves once bytes that wait for the caller are gone, or the caller is. */
  drained(): Promise<void> {
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

  /** Ends a stream that is whole. */
  end(): void {
    this.response.end();
  }

  /** Ends an answer so that the caller sees that it is not whole. */
  breakOff(): void {
    this.response.destroy();
  }

  private begin(status: number, headers: readonly string[], sizeBytes: number | null): void {
    this.firstByteAt = this.nowMs();
    const all = [...headers];
    if (sizeBytes !== null) all.push("Content-Length", String(sizeBytes));
    if (this.isClosing()) all.push("Connection", "close");
    this.response.writeHead(status, all);
  }
}
