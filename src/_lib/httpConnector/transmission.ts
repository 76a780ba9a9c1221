import type * as http from "node:http";
import type * as net from "node:net";

/** Watches one request: whether a connection has carried it, its timeout and its signal. */
export class Transmission implements Disposable {
  /** Whether a connection has taken the request, so that the other party may have received it. */
  hasLeft = false;
  isTimedOut = false;
  /** Why the request was ended from this side; null while it was not. */
  reason: Error | null = null;
  private request: http.ClientRequest | null = null;
  private connectTimer: NodeJS.Timeout | undefined;
  private readonly timer: NodeJS.Timeout | undefined;
  private readonly onAbort = (): void => this.end(new Error("the request was given up"));

  constructor(
    timeoutMs: number | undefined,
    private readonly signal: AbortSignal | undefined,
  ) {
    if (timeoutMs !== undefined) {
      this.timer = setTimeout(() => this.timeOut(`no answer within ${timeoutMs} ms`), timeoutMs);
    }
    signal?.addEventListener("abort", this.onAbort, { once: true });
  }

  /** Follows a request from its creation on. */
  watch(request: http.ClientRequest, connectTimeoutMs: number): void {
    this.request = request;
    request.once("socket", (socket) => this.onSocket(socket, connectTimeoutMs));
    if (this.signal?.aborted === true) this.onAbort();
  }

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
      this.hasLeft = true;
      return;
    }
    socket.once("connect", () => {
      this.hasLeft = true;
      clearTimeout(this.connectTimer);
    });
    const message = `no connection within ${connectTimeoutMs} ms`;
    this.connectTimer = setTimeout(() => this.timeOut(message), connectTimeoutMs);
  }

  private timeOut(message: string): void {
    this.isTimedOut = true;
    this.end(new Error(message));
  }

  private end(reason: Error): void {
    this.reason ??= reason;
    this.request?.destroy(this.reason);
  }
}
