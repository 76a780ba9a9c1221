import * as catalogue from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import * as forecasts from "../memoryForecast/index.js";
import type * as types from "../../types.js";

/** A running generation with its share of the memory forecast. */
export interface RunningRecord extends types.RunningGeneration {
  contextTokens: number;
  producedTokens: number;
  lastTokenAtMs: number;
  /** Tokens produced when the share was last computed. */
  forecastAtTokens: number;
  readonly share: forecasts.MemoryShare;
  /** Prompt tokens left to prefill; 0 once the generation has produced a token. */
  pendingPrefillTokens: number;
}

/** The generations that run on one engine, with the totals that admission uses. */
export class RunningTable {
  readonly forecast = new forecasts.MemoryForecast();
  /** Tokens in memory of all running generations. */
  contextTokens = 0;
  /** Count of running generations of the streaming class. */
  streamingCount = 0;
  /** Prompt tokens of all running generations that are left to prefill. */
  pendingPrefillTokens = 0;
  private readonly records = new Map<string, RunningRecord>();
  /** Count of running generations by their bound on the time between tokens, in milliseconds. */
  private readonly interTokenBoundCounts = new Map<number, number>();

  constructor(
    private readonly lengths: types.LengthEstimator,
    private readonly interTokenBoundMsOf: (entryName: string) => number | null,
  ) {}

  /** Count of running generations. */
  get count(): number {
    return this.records.size;
  }

  /** Whether a generation runs on the engine. */
  has(requestId: string): boolean {
    return this.records.has(requestId);
  }

  /** How often a running generation was suspended before. */
  suspensionsOf(requestId: string): number {
    return this.records.get(requestId)?.suspensionsCount ?? 0;
  }

  /** Lowest bound on the time between tokens of any running generation; Infinity without one. */
  get lowestInterTokenBoundMs(): number {
    let lowestMs = Infinity;
    for (const boundMs of this.interTokenBoundCounts.keys()) lowestMs = Math.min(lowestMs, boundMs);
    return lowestMs;
  }

  /** All running generations, in the order in which they started. */
  list(): readonly RunningRecord[] {
    return [...this.records.values()];
  }

  /** Adds a generation that starts, replacing one with the same request id. */
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
    this.countStreaming(need, 1);
    this.countInterTokenBound(need, 1);
    this.computeShare(record);
    this.forecast.add(record.share);
  }

  /** Records the count of produced tokens; ignores unknown generations and lower counts. */
  recordProgress(requestId: string, producedTokens: number, nowMs: number): void {
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

  /** Removes a generation and returns its last record. */
  remove(requestId: string): RunningRecord | undefined {
    const record = this.records.get(requestId);
    if (record === undefined) return undefined;
    this.records.delete(requestId);
    this.contextTokens -= record.contextTokens;
    this.pendingPrefillTokens -= record.pendingPrefillTokens;
    this.countStreaming(record.need, -1);
    this.countInterTokenBound(record.need, -1);
    this.forecast.remove(record.share);
    if (this.records.size === 0) this.forecast.clear();
    return record;
  }

  private countStreaming(need: types.GenerationNeed, change: number): void {
    if (need.class === catalogue.RequestClass.Streaming) this.streamingCount += change;
  }

  private countInterTokenBound(need: types.GenerationNeed, change: number): void {
    const boundMs = this.interTokenBoundMsOf(need.entryName);
    if (boundMs === null) return;
    const count = (this.interTokenBoundCounts.get(boundMs) ?? 0) + change;
    if (count > 0) this.interTokenBoundCounts.set(boundMs, count);
    else this.interTokenBoundCounts.delete(boundMs);
  }

  /** Recomputes the share of a generation in the forecast. */
  private renew(record: RunningRecord): void {
    this.forecast.remove(record.share);
    this.computeShare(record);
    this.forecast.add(record.share);
  }

  private computeShare(record: RunningRecord): void {
    record.forecastAtTokens = record.producedTokens;
    forecasts.fillMemoryShare(record.share, {
      lengths: this.lengths.distributionFor(record.need),
      contextTokens: record.contextTokens,
      producedTokens: record.producedTokens,
      maxTokens: record.need.maxTokens,
    });
  }
}
