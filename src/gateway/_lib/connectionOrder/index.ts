/** What is known of a connection. It names no request, as a request's head would stay in memory with it. */
interface ConnectionState {
  /** Number of requests that were read on the connection. */
  requestsCount: number;
  isClosing: boolean;
}

/** Tracks the order of pipelined requests, so that "Connection: close" is sent only with the last answer. */
export class ConnectionOrder {
  private readonly states = new WeakMap<object, ConnectionState>();
  /** Positions of requests on their connections, from 1. */
  private readonly positions = new WeakMap<object, number>();

  /**
   * Records that a request was read; returns whether it can be answered, as no answer before its own closes
   * the connection.
   */
  add(connection: object, request: object): boolean {
    const state = this.states.get(connection) ?? { requestsCount: 0, isClosing: false };
    state.requestsCount += 1;
    this.states.set(connection, state);
    this.positions.set(request, state.requestsCount);
    return !state.isClosing;
  }

  /**
   * Returns whether the answer to a request, whose head is sent now, closes its connection: only if no other
   * request was read after it, whose answer would be lost.
   */
  close(connection: object, request: object): boolean {
    const state = this.states.get(connection);
    if (state === undefined) return true;
    if (state.requestsCount !== this.positions.get(request)) return false;
    state.isClosing = true;
    return true;
  }
}
