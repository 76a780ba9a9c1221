import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as tokenTexts from "../../engine/tokenText/index.js";

/** Keeps the seeds of different starts apart. */
const SEED_STRIDE = 7_919;

/**
 * Engines whose sampling differs between any two starts from nothing, as real ones may, while a
 * continuation from a prefix keeps the sampling of its prefix. A splice shows in the tokens' marks.
 */
export class MarkingEngineClients implements backends.EngineClients {
  private readonly seeds = new Map<string, number>();
  private startsCount = 0;

  constructor(private readonly clients: backends.EngineClients) {}

  clientFor(engine: catalogue.EngineBackend): backends.EngineClient {
    const client = this.clients.clientFor(engine);
    return {
      name: client.name,
      start: (request, signal) => client.start(this.markRequest(request), signal),
      resume: (requestId, attempt, fromOffset, signal) =>
        client.resume(requestId, attempt, fromOffset, signal),
      cancel: (requestId, attempt) => client.cancel(requestId, attempt),
      loadReport: () => client.loadReport(),
      cacheEvents: (afterSequence) => client.cacheEvents(afterSequence),
      order: (order) => client.order(order),
    };
  }

  private markRequest(request: backends.EngineRequest): backends.EngineRequest {
    const [first] = request.prefixTokens;
    const prefixMark = first?.trim().split(".")[0];
    const seed = prefixMark === undefined ? this.newSeed(request) : this.seeds.get(prefixMark);
    const marked = { ...request, seed: seed ?? request.seed };
    this.seeds.set(tokenTexts.samplingMark(marked), marked.seed);
    return marked;
  }

  private newSeed(request: backends.EngineRequest): number {
    this.startsCount += 1;
    return request.seed + this.startsCount * SEED_STRIDE;
  }
}
