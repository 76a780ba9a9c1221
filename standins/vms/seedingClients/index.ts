import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as tokenTexts from "../../engine/tokenText/index.js";

/** Difference between the offsets that consecutive starts add to their requests' seeds, so that these do not collide. */
const SEED_STRIDE = 7_919;

/**
 * Engine clients that give each run without a prefix a different seed, since real engines may sample
 * differently each time. A run with a prefix gets the seed with which the prefix was sampled. The
 * marks in the tokens thus reveal a text that was joined from two samplings.
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
    const seededRequest = { ...request, seed: seed ?? request.seed };
    this.seedByMark.set(tokenTexts.computeSamplingMark(seededRequest), seededRequest.seed);
    return seededRequest;
  }

  private createSeed(request: backends.EngineRequest): number {
    this.startsCount += 1;
    return request.seed + this.startsCount * SEED_STRIDE;
  }
}
