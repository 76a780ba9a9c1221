import * as crypto from "node:crypto";

import type * as backends from "../../../src/backends/types.js";
import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";

const HASH_DIGITS_COUNT = 16;

/** Maximum number of events that readers can still read; the oldest are dropped first. */
const MAX_EVENTS_COUNT = 4_096;

/** Options of a prefix cache. */
export interface PrefixCacheOptions {
  /** Tokens per block. */
  readonly cacheBlockTokens: number;
  readonly cacheEventLagMs: number;
  /** Fraction of events that are lost and leave a gap in the sequence numbers. */
  readonly cacheEventLossRatio: number;
}

interface PublishedEvent {
  readonly event: backends.CacheEvent;
  readonly visibleAtMs: number;
}

/**
 * Hashes the prefixes of a text that consist of complete blocks, shortest first.
 *
 * @param words - the tokens of the text
 * @param blockTokens - tokens per block
 */
export function hashPrefixes(words: readonly string[], blockTokens: number): readonly string[] {
  const hashes: string[] = [];
  let previous = "";
  for (let end = blockTokens; end <= words.length; end += blockTokens) {
    const block = words.slice(end - blockTokens, end).join(" ");
    previous = crypto
      .createHash("sha1")
      .update(`${previous}|${block}`)
      .digest("hex")
      .slice(0, HASH_DIGITS_COUNT);
    hashes.push(previous);
  }
  return hashes;
}

/** Caches prompt prefixes in spare memory, evicting by LRU; its events arrive late and can be lost. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly events: PublishedEvent[] = [];
  private sequence = 0;

  constructor(
    private readonly options: PrefixCacheOptions,
    private readonly clock: clocks.Clock,
    private readonly random: randoms.RandomSource,
  ) {}

  /** Tokens of memory that the cached blocks occupy. */
  get usedTokens(): number {
    return this.blocks.size * this.options.cacheBlockTokens;
  }

  /** Returns the token count of the longest cached prefix and marks it as recently used. */
  lookup(hashes: readonly string[]): number {
    let hitCount = 0;
    for (const hash of hashes) {
      if (!this.blocks.delete(hash)) break;
      this.blocks.add(hash);
      hitCount += 1;
    }
    return hitCount * this.options.cacheBlockTokens;
  }

  /** Adds the blocks of a text that are not cached yet. */
  store(hashes: readonly string[]): void {
    for (const hash of hashes) {
      if (this.blocks.has(hash)) continue;
      this.blocks.add(hash);
      this.publish("stored", hash);
    }
  }

  /** Evicts blocks until at most `maxTokens` tokens are used. */
  shrinkTo(maxTokens: number): void {
    for (const hash of this.blocks) {
      if (this.usedTokens <= maxTokens) break;
      this.blocks.delete(hash);
      this.publish("evicted", hash);
    }
  }

  /** Drops all blocks, as when the engine's process dies. */
  clear(): void {
    this.blocks.clear();
    this.publish("cleared", "");
  }

  /** Lists the visible events after a sequence number; each becomes visible after the event lag. */
  eventsAfter(sequence: number): readonly backends.CacheEvent[] {
    const nowMs = this.clock.nowMs();
    return this.events
      .filter((item) => item.event.sequence > sequence && item.visibleAtMs <= nowMs)
      .map((item) => item.event);
  }

  private publish(kind: backends.CacheEvent["kind"], prefixHash: string): void {
    this.sequence += 1;
    if (this.random.next() < this.options.cacheEventLossRatio) return;
    const event = {
      sequence: this.sequence,
      kind,
      prefixHash,
      tokens: this.options.cacheBlockTokens,
    };
    this.events.push({ event, visibleAtMs: this.clock.nowMs() + this.options.cacheEventLagMs });
    if (this.events.length > MAX_EVENTS_COUNT) this.events.shift();
  }
}
