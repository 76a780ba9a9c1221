import * as constants from "../../constants.js";

/** Recent prefill load of an engine by prompts of the batch class, with exponential decay. */
export class PrefillLoad {
  private recentTokens = 0;
  private updatedAtMs = 0;

  /** Adds a prompt that the engine is about to prefill. */
  add(promptTokens: number, nowMs: number): void {
    this.recentTokens = this.computeDecayedTokens(nowMs) + promptTokens;
    this.updatedAtMs = nowMs;
  }

  /** Share of the engine's prefill speed that was used recently; above 1 if prompts queue up. */
  computeRatio(nowMs: number): number {
    const fullTokens = constants.PREFILL_TOKENS_PER_MS * constants.PREFILL_LOAD_TIME_CONSTANT_MS;
    return this.computeDecayedTokens(nowMs) / fullTokens;
  }

  private computeDecayedTokens(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.recentTokens * Math.exp(-ageMs / constants.PREFILL_LOAD_TIME_CONSTANT_MS);
  }
}
