import * as catalogue from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import * as forecasts from "../memoryForecast/index.js";
import type * as types from "../../types.js";

/** A running generation with its part of the forecast. */
export interface RunningRecord extends types.RunningGeneration {
  contextTokens: number;
  producedTokens: number;
  lastTokenAtMs: number;
  /** Tokens produced when the share was last computed. */
  forecastAtTokens: number;
  readonly share: forecasts.MemoryShare;
  /** Prompt tokens that the engine still has to prefill before the first token. */
  pendingPrefillTokens: number;
}

/** The generations that one engine runs, with sums that admission needs kept up to date. */
export class RunningTable {
  readonly forecast = new forecasts.MemoryForecast();
  contextTokens = 0;
  streamingCount = 0;
  pendingPrefillTokens = 0;
  private readonly records = new Map<string, RunningRecord>();
  /** How many running generations state each bound between tokens. */
  private readonly boundCounts = new Map<number, number>();

  constructor(
    private readonly lengths: types.LengthEstimator,
    private readonly interTokenBoundMsOf: (entryName: string) => number | null,
  ) {}

  get count(): number {
    return this.records.size;
  }

  has(requestId: string): boolean {
    return this.records.has(requestId);
  }

  /** How often a running generation was suspended before. */
  suspensionsOf(requestId: string): number {
    return this.records.get(requestId)?.suspensionsCount ?? 0;
  }

  /** The tightest bound between tokens among all that runs, in milliseconds. */
  get lowestBoundMs(): number {
    let lowestMs = Infinity;
    for (const boundMs of this.boundCounts.keys()) lowestMs = Math.min(lowestMs, boundMs);
    return lowestMs;
  }

  list(): readonly RunningRecord[] {
    return [...this.records.values()];
  }

  add(need: types.GenerationNeed, nowMs: number, suspensionsCount: number): void {
    this.remove(need.requestId);
    const record: RunningRecord = {
      need,
      startedAtMs: nowMs,
      contextTokens: need.promptTokens + need.producedTokens,
      producedTokens: need.producedTokens,
      lastTokenAtMs: nowMs,
      suspensionsCount,
      forecastAtTokens: need.producedTokens,
      share: forecasts.createMemoryShare(),
      pendingPrefillTokens: need.promptTokens,
    };
    this.records.set(need.requestId, record);
    this.contextTokens += record.contextTokens;
    this.pendingPrefillTokens += record.pendingPrefillTokens;
    this.countWatchers(need, 1);
    this.countBound(need, 1);
    this.fill(record);
    this.forecast.add(record.share);
  }

  progress(requestId: string, producedTokens: number, nowMs: number): void {
    const record = this.records.get(requestId);
    if (record === undefined || producedTokens <= record.producedTokens) return;
    const addedTokens = producedTokens - record.producedTokens;
    record.producedTokens = producedTokens;
    record.contextTokens += addedTokens;
    record.lastTokenAtMs = nowMs;
    this.contextTokens += addedTokens;
    this.pendingPrefillTokens -= record.pendingPrefillTokens;
    record.pendingPrefillTokens = 0;
    if (producedTokens - record.forecastAtTokens >= constants.REFORECAST_TOKENS) {
      this.renew(record);
    }
  }

  remove(requestId: string): RunningRecord | undefined {
    const record = this.records.get(requestId);
    if (record === undefined) return undefined;
    this.records.delete(requestId);
    this.contextTokens -= record.contextTokens;
    this.pendingPrefillTokens -= record.pendingPrefillTokens;
    this.countWatchers(record.need, -1);
    this.countBound(record.need, -1);
    this.forecast.remove(record.share);
    if (this.records.size === 0) this.forecast.clear();
    return record;
  }

  private countWatchers(need: types.GenerationNeed, change: number): void {
    if (need.class === catalogue.RequestClass.Streaming) this.streamingCount += change;
  }

  private countBound(need: types.GenerationNeed, change: number): void {
    const boundMs = this.interTokenBoundMsOf(need.entryName);
    if (boundMs === null) return;
    const count = (this.boundCounts.get(boundMs) ?? 0) + change;
    if (count > 0) this.boundCounts.set(boundMs, count);
    else this.boundCounts.delete(boundMs);
  }

  private renew(record: RunningRecord): void {
    this.forecast.remove(record.share);
    this.fill(record);
    this.forecast.add(record.share);
  }

  private fill(record: RunningRecord): void {
    record.forecastAtTokens = record.producedTokens;
    forecasts.fillMemoryShare(record.share, {
      lengths: this.lengths.distributionFor(record.need),
      contextTokens: record.contextTokens,
      producedTokens: record.producedTokens,
      maxTokens: record.need.maxTokens,
    });
  }
}
