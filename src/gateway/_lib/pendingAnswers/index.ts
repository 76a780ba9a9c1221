import type * as http from "node:http";
import type * as net from "node:net";

interface Exchange {
  readonly request: http.IncomingMessage;
  readonly response: http.ServerResponse;
}

/** Tracks which requests of each connection still wait for their answers, or the end of them. */
export class PendingAnswers {
  private readonly exchanges = new WeakMap<net.Socket, Set<Exchange>>();
  private readonly endingSockets = new WeakSet<net.Socket>();

  /** Adds a request until its answer has ended or its connection is closed. */
  add(request: http.IncomingMessage, response: http.ServerResponse): void {
    const { socket } = request;
    const pending = this.exchanges.get(socket) ?? new Set();
    const exchange = { request, response };
    this.exchanges.set(socket, pending.add(exchange));
    response.once("close", () => pending.delete(exchange));
  }

  /** Whether a part of an answer was sent on a connection whose other part is still to come. */
  hasBegunAnswer(socket: net.Socket): boolean {
    const pending = this.exchanges.get(socket) ?? [];
    return [...pending].some(({ response }) => response.headersSent);
  }

  /**
   * Calls back, once for a connection, when all its complete requests are answered; at once if there are none. A
   * request that is not complete may never be. Closes the connection if the caller ends it meanwhile.
   */
  endAfterComplete(socket: net.Socket, callback: () => void): void {
    if (this.endingSockets.has(socket)) {
      if (socket.readableEnded) socket.destroy();
      return;
    }
    this.endingSockets.add(socket);
    this.awaitComplete(socket, callback);
  }

  private awaitComplete(socket: net.Socket, callback: () => void): void {
    const pending = this.exchanges.get(socket) ?? [];
    const next = [...pending].find(({ request }) => request.complete);
    if (next === undefined) callback();
    else next.response.once("close", () => this.awaitComplete(socket, callback));
  }
}
