import * as nodeTls from "node:tls";

import type * as hapi from "@hapi/hapi";

import type * as types from "../types.js";

/** An HTTP or HTTPS server with an open port; disposing of it closes all connections at once. */
export class HttpListener implements AsyncDisposable {
  protected constructor(private readonly server: hapi.Server) {}

  /** URL of the server, with the port in use. */
  get url(): string {
    const { protocol, address, port } = this.server.info;
    return `${protocol}://${address}:${port}`;
  }

  /** Replaces the certificates of a TLS listener; open connections keep theirs. */
  renewTls(tls: NonNullable<types.ListenOptions["tls"]>): void {
    const { listener } = this.server;
    if (listener instanceof nodeTls.Server) listener.setSecureContext(tls);
  }

  /**
   * Accepts no more connections, and closes each as soon as no request on it is in progress.
   *
   * @param timeoutMs - time after which those that are left are closed in any case
   */
  async finish(timeoutMs: number): Promise<void> {
    await this.server.stop({ timeout: timeoutMs });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.server.stop({ timeout: 0 });
  }
}
