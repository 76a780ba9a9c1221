import "reflect-metadata";

import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as catalogue from "../../catalogue/types.js";
import * as clientCaches from "../_lib/clientCache.js";
import * as httpEngineClient from "../httpEngineClient/index.js";
import type * as types from "../types.js";

/** Provides HTTP clients of engines, one per engine. */
@tsyringe.injectable()
export class HttpEngineClients implements types.EngineClients, Disposable {
  private readonly cache: clientCaches.ClientCache<httpEngineClient.HttpEngineClient>;

  constructor(@tsyringe.inject(tokens.TOKENS.clock) clock: clocks.Clock) {
    this.cache = new clientCaches.ClientCache(
      (name, url) => new httpEngineClient.HttpEngineClient(name, url, clock),
    );
  }

  /** Returns the client of an engine; creates it on first use. */
  clientFor(engine: catalogue.EngineBackend): types.EngineClient {
    return this.cache.clientFor(engine);
  }

  [Symbol.dispose](): void {
    this.cache[Symbol.dispose]();
  }
}
