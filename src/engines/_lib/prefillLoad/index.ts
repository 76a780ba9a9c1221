import * as constants from "../../constants.js";

/** How much of an engine's time goes into the prompts of work that nobody watches. */
export class PrefillLoad {
  private recentTokens = 0;
  private updatedAtMs = 0;

  /** Counts a prompt that the engine will prefill. */
  add(promptTokens: number, nowMs: number): void {
    this.recentTokens = this.decayedTokens(nowMs) + promptTokens;
    this.updatedAtMs = nowMs;
  }

  /** Share of the engine's prefill speed that was used lately; above 1 where prompts queue up. */
  ratio(nowMs: number): number {
    const fullTokens = constants.PREFILL_TOKENS_PER_MS * constants.PREFILL_MEMORY_MS;
    return this.decayedTokens(nowMs) / fullTokens;
  }

  private decayedTokens(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.recentTokens * Math.exp(-ageMs / constants.PREFILL_MEMORY_MS);
  }
}
