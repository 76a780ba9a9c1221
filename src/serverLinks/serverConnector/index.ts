import * as net from "node:net";

import type * as neverthrow from "neverthrow";

import type * as servers from "../../servers/index.js";
import * as connections from "../_lib/openConnection/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Opens TCP connections over the network of this VM. */
export const dialTcp: types.Dial = ({ host, port }) =>
  net.connect({ host, port, noDelay: true, allowHalfOpen: true });

/** Dependencies of the connector. */
export interface ConnectorContext {
  readonly dial: types.Dial;
}

/** What a connection to a server is opened for. */
export interface ConnectOptions {
  readonly requestId: string;
  readonly signal: AbortSignal;
}

/** A connection to a server. */
export interface ServerConnection {
  readonly socket: net.Socket;
}

/** Opens connections to backend servers. */
export class ServerConnector {
  constructor(private readonly context: ConnectorContext) {}

  /** Opens a connection to a server; the error is its cause as a text, and nothing was sent. */
  async connect(
    server: servers.ServerEntry,
    { signal }: ConnectOptions,
  ): Promise<neverthrow.Result<ServerConnection, string>> {
    const { dial } = this.context;
    const options = { timeoutMs: constants.CONNECT_TIMEOUT_MS, signal };
    const opened = await connections.openConnection(dial, server, options);
    return opened.map((socket) => ({ socket }));
  }

  /** Returns whether a server accepts a connection; sends nothing on it. */
  async isReachable(server: servers.ServerEntry, options: ConnectOptions): Promise<boolean> {
    const opened = await this.connect(server, options);
    if (opened.isOk()) opened.value.socket.destroy();
    return opened.isOk();
  }
}
