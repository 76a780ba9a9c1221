import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as tokenTexts from "../../engine/tokenText/index.js";

/** Distance between the seeds of two starts, so that they do not collide. */
const SEED_STRIDE = 7_919;

/**
 * Engine clients that give each run without a prefix a different seed, since real engines may sample
 * differently each time, while a continuation keeps the seed of its prefix. A text joined from two
 * samplings can be detected by its tokens' marks.
 */
export class SeedingEngineClients implements backends.EngineClients {
  private readonly seedByMark = new Map<string, number>();
  private startsCount = 0;

  constructor(private readonly clients: backends.EngineClients) {}

  clientFor(engine: catalogue.EngineBackend): backends.EngineClient {
    const client = this.clients.clientFor(engine);
    return {
      name: client.name,
      start: (request, signal) => client.start(this.assignSeed(request), signal),
      resume: (requestId, attempt, fromOffset, signal) =>
        client.resume(requestId, attempt, fromOffset, signal),
      cancel: (requestId, attempt) => client.cancel(requestId, attempt),
      loadReport: () => client.loadReport(),
      cacheEvents: (afterSequence) => client.cacheEvents(afterSequence),
      order: (order) => client.order(order),
    };
  }

  private assignSeed(request: backends.EngineRequest): backends.EngineRequest {
    const [first] = request.prefixTokens;
    const prefixMark = first?.trim().split(".")[0];
    const seed =
      prefixMark === undefined ? this.createSeed(request) : this.seedByMark.get(prefixMark);
    const marked = { ...request, seed: seed ?? request.seed };
    this.seedByMark.set(tokenTexts.computeSamplingMark(marked), marked.seed);
    return marked;
  }

  private createSeed(request: backends.EngineRequest): number {
    this.startsCount += 1;
    return request.seed + this.startsCount * SEED_STRIDE;
  }
}
