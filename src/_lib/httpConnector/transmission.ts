import type * as http from "node:http";
import type * as net from "node:net";

import * as clocks from "../clock/index.js";

/** Tracks whether one request was sent, and aborts it on timeout or by its signal. */
export class Transmission implements Disposable {
  /** Whether the request was assigned to an open connection, so that the peer may have received it. */
  isSent = false;
  /** Whether the request was aborted because it or its connection timed out. */
  isTimedOut = false;
  /** Why the request was aborted locally; null if it was not. */
  abortReason: Error | null = null;
  private request: http.ClientRequest | null = null;
  private connectTimer: NodeJS.Timeout | undefined;
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly onAbort = (): void => this.abort(new Error("the request was aborted"));

  constructor(
    timeoutMs: number | undefined,
    private readonly signal: AbortSignal | undefined,
  ) {
    if (timeoutMs !== undefined) {
      this.timer = setTimeout(
        () => this.abortOnTimeout(`no answer within ${timeoutMs} ms`),
        clocks.limitDelayMs(timeoutMs),
      );
    }
    signal?.addEventListener("abort", this.onAbort, { once: true });
  }

  /** Starts to track a request; must be called right after its creation. */
  watch(request: http.ClientRequest, connectTimeoutMs: number): void {
    this.request = request;
    request.once("socket", (socket) => this.onSocket(socket, connectTimeoutMs));
    if (this.signal?.aborted === true) this.onAbort();
  }

  /** Stops the request's timeout; the signal can still abort it. */
  stopTimer(): void {
    clearTimeout(this.timer);
  }

  [Symbol.dispose](): void {
    this.stopTimer();
    clearTimeout(this.connectTimer);
    this.signal?.removeEventListener("abort", this.onAbort);
  }

  private onSocket(socket: net.Socket, connectTimeoutMs: number): void {
    if (!socket.connecting) {
      this.isSent = true;
      return;
    }
    socket.once("connect", () => {
      this.isSent = true;
      clearTimeout(this.connectTimer);
    });
    const message = `no connection within ${connectTimeoutMs} ms`;
    this.connectTimer = setTimeout(
      () => this.abortOnTimeout(message),
      clocks.limitDelayMs(connectTimeoutMs),
    );
  }

  private abortOnTimeout(message: string): void {
    this.isTimedOut = true;
    this.abort(new Error(message));
  }

  private abort(reason: Error): void {
    this.abortReason ??= reason;
    this.request?.destroy(this.abortReason);
  }
}
