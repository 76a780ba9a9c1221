import "reflect-metadata";

import * as tsyringe from "tsyringe";

import type * as catalogue from "../../catalogue/types.js";
import * as clientCaches from "../_lib/clientCache.js";
import * as httpServiceClient from "../httpServiceClient/index.js";
import type * as types from "../types.js";

/** Provides HTTP clients of plain servers, one per server. */
@tsyringe.injectable()
export class HttpServiceClients implements types.ServiceClients, Disposable {
  private readonly cache = new clientCaches.ClientCache(
    (name, url) => new httpServiceClient.HttpServiceClient(name, url),
  );

  /** Returns the client of a plain server; creates it on first use. */
  clientFor(backend: catalogue.ServiceBackend): types.ServiceClient {
    return this.cache.clientFor(backend);
  }

  [Symbol.dispose](): void {
    this.cache[Symbol.dispose]();
  }
}
