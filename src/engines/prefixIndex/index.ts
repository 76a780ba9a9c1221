import type * as backends from "../../backends/types.js";
import * as constants from "../constants.js";

/** What is believed about one engine's prefix cache. */
interface EnginePrefixes {
  /** When each prefix was last stored or used, the longest ago first. */
  readonly seenAtMs: Map<string, number>;
  lastSequence: number;
  /** Moving share of events that never arrived. */
  lossRatio: number;
}

/**
 * Which prompt prefixes engines probably hold. Events come late and with gaps, so the answer is a
 * probability: it falls with the age of the last sign and with the share of events that are lost.
 */
export class PrefixIndex {
  private readonly engines = new Map<string, EnginePrefixes>();

  /** Takes in cache events of an engine, in the order of their sequence. */
  onEvents(engineName: string, events: readonly backends.CacheEvent[], nowMs: number): void {
    const prefixes = this.prefixesOf(engineName);
    for (const event of events) {
      if (event.sequence <= prefixes.lastSequence) continue;
      noteGap(prefixes, event.sequence);
      HANDLERS[event.kind](prefixes, event.prefixHash, nowMs);
    }
    trim(prefixes);
  }

  /** A prompt was sent there; the engine will have computed its prefixes. */
  onDispatched(engineName: string, prefixHashes: readonly string[], nowMs: number): void {
    const prefixes = this.prefixesOf(engineName);
    for (const hash of prefixHashes) store(prefixes, hash, nowMs);
    trim(prefixes);
  }

  /** The engine is gone, and its cache with it. */
  forget(engineName: string): void {
    this.engines.delete(engineName);
  }

  /**
   * Share of a prompt's prefix blocks that the engine probably holds.
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
      const remembered = 2 ** (-ageMs / constants.PREFIX_HALF_LIFE_MS);
      expectedBlocks += remembered * (1 - prefixes.lossRatio);
    }
    return expectedBlocks / prefixHashes.length;
  }

  private prefixesOf(engineName: string): EnginePrefixes {
    const known = this.engines.get(engineName);
    if (known !== undefined) return known;
    const created = { seenAtMs: new Map(), lastSequence: 0, lossRatio: 0 };
    this.engines.set(engineName, created);
    return created;
  }
}

type EventHandler = (prefixes: EnginePrefixes, hash: string, nowMs: number) => void;

const HANDLERS: Readonly<Record<backends.CacheEvent["kind"], EventHandler>> = {
  stored: store,
  evicted: (prefixes, hash) => prefixes.seenAtMs.delete(hash),
  cleared: (prefixes) => prefixes.seenAtMs.clear(),
};

function store(prefixes: EnginePrefixes, hash: string, nowMs: number): void {
  prefixes.seenAtMs.delete(hash);
  prefixes.seenAtMs.set(hash, nowMs);
}

function noteGap(prefixes: EnginePrefixes, sequence: number): void {
  const isFirst = prefixes.lastSequence === 0;
  const lostCount = isFirst ? 0 : sequence - prefixes.lastSequence - 1;
  const lossRatio = lostCount / (lostCount + 1);
  prefixes.lossRatio += constants.EVENT_LOSS_WEIGHT * (lossRatio - prefixes.lossRatio);
  prefixes.lastSequence = sequence;
}

function trim(prefixes: EnginePrefixes): void {
  for (const hash of prefixes.seenAtMs.keys()) {
    if (prefixes.seenAtMs.size <= constants.MAX_PREFIXES_PER_ENGINE) return;
    prefixes.seenAtMs.delete(hash);
  }
}
