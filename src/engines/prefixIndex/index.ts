import type * as backends from "../../backends/types.js";
import * as constants from "../constants.js";

/** Estimated content of one engine's prefix cache. */
interface EnginePrefixes {
  /** When each prefix was last stored or used, least recent first. */
  readonly seenAtMs: Map<string, number>;
  lastSequence: number;
  /** Moving average of the share of lost events. */
  lossRatio: number;
}

/**
 * Estimates which prompt prefixes engines have cached. Cache events are delayed and may be lost, so
 * the estimate is a probability that falls with the time since the prefix was last seen and with
 * the share of lost events.
 */
export class PrefixIndex {
  private readonly engines = new Map<string, EnginePrefixes>();

  /** Applies cache events of an engine in sequence order; ignores repeated and older events. */
  onEvents(engineName: string, events: readonly backends.CacheEvent[], nowMs: number): void {
    const prefixes = this.getOrCreatePrefixes(engineName);
    for (const event of events) {
      if (event.sequence <= prefixes.lastSequence) continue;
      recordSequence(prefixes, event.sequence);
      HANDLERS[event.kind](prefixes, event.prefixHash, nowMs);
    }
    evictOldest(prefixes);
  }

  /** Records a prompt sent to an engine, which caches the prompt's prefixes. */
  onDispatched(engineName: string, prefixHashes: readonly string[], nowMs: number): void {
    const prefixes = this.getOrCreatePrefixes(engineName);
    for (const hash of prefixHashes) recordPrefix(prefixes, hash, nowMs);
    evictOldest(prefixes);
  }

  /** Removes the state of an engine that has departed. */
  forget(engineName: string): void {
    this.engines.delete(engineName);
  }

  /**
   * Estimates the share of a prompt's prefix blocks that an engine has cached.
   *
   * @param prefixHashes - shortest first
   * @returns the expected share, from 0 to 1
   */
  likelihoodOf(engineName: string, prefixHashes: readonly string[], nowMs: number): number {
    const prefixes = this.engines.get(engineName);
    if (prefixes === undefined || prefixHashes.length === 0) return 0;
    let expectedBlocks = 0;
    for (const hash of prefixHashes) {
      const seenAtMs = prefixes.seenAtMs.get(hash);
      if (seenAtMs === undefined) break;
      const ageMs = Math.max(0, nowMs - seenAtMs);
      const cachedProbability = 2 ** (-ageMs / constants.PREFIX_HALF_LIFE_MS);
      expectedBlocks += cachedProbability * (1 - prefixes.lossRatio);
    }
    return expectedBlocks / prefixHashes.length;
  }

  private getOrCreatePrefixes(engineName: string): EnginePrefixes {
    const known = this.engines.get(engineName);
    if (known !== undefined) return known;
    const created = { seenAtMs: new Map(), lastSequence: 0, lossRatio: 0 };
    this.engines.set(engineName, created);
    return created;
  }
}

type EventHandler = (prefixes: EnginePrefixes, hash: string, nowMs: number) => void;

const HANDLERS: Readonly<Record<backends.CacheEvent["kind"], EventHandler>> = {
  stored: recordPrefix,
  evicted: (prefixes, hash) => prefixes.seenAtMs.delete(hash),
  cleared: (prefixes) => prefixes.seenAtMs.clear(),
};

function recordPrefix(prefixes: EnginePrefixes, hash: string, nowMs: number): void {
  prefixes.seenAtMs.delete(hash);
  prefixes.seenAtMs.set(hash, nowMs);
}

function recordSequence(prefixes: EnginePrefixes, sequence: number): void {
  const isFirst = prefixes.lastSequence === 0;
  const lostCount = isFirst ? 0 : sequence - prefixes.lastSequence - 1;
  const lossRatio = lostCount / (lostCount + 1);
  prefixes.lossRatio += constants.EVENT_LOSS_WEIGHT * (lossRatio - prefixes.lossRatio);
  prefixes.lastSequence = sequence;
}

function evictOldest(prefixes: EnginePrefixes): void {
  for (const hash of prefixes.seenAtMs.keys()) {
    if (prefixes.seenAtMs.size <= constants.MAX_PREFIXES_PER_ENGINE) return;
    prefixes.seenAtMs.delete(hash);
  }
}
