import * as nodeTls from "node:tls";

import type * as hapi from "@hapi/hapi";

import type * as types from "../types.js";

/** An open port that serves HTTP. */
export class HttpListener implements AsyncDisposable {
  protected constructor(private readonly server: hapi.Server) {}

  /** Address with the port in use. */
  get url(): string {
    const { protocol, address, port } = this.server.info;
    return `${protocol}://${address}:${port}`;
  }

  /** Replaces the certificates of a TLS listener; running connections keep theirs. */
  renewTls(tls: NonNullable<types.ListenOptions["tls"]>): void {
    const { listener } = this.server;
    if (listener instanceof nodeTls.Server) listener.setSecureContext(tls);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.server.stop({ timeout: 0 });
  }
}
