import * as constants from "../../constants.js";

/** Moving prefill load that prompts of the batch class cause on an engine. */
export class PrefillLoad {
  private recentTokens = 0;
  private updatedAtMs = 0;

  /** Adds a prompt that the engine is about to prefill. */
  add(promptTokens: number, nowMs: number): void {
    this.recentTokens = this.decayedTokens(nowMs) + promptTokens;
    this.updatedAtMs = nowMs;
  }

  /** Recently used share of the engine's prefill speed; above 1 if prompts queue up. */
  ratio(nowMs: number): number {
    const fullTokens = constants.PREFILL_TOKENS_PER_MS * constants.PREFILL_LOAD_TIME_CONSTANT_MS;
    return this.decayedTokens(nowMs) / fullTokens;
  }

  private decayedTokens(nowMs: number): number {
    const ageMs = Math.max(0, nowMs - this.updatedAtMs);
    return this.recentTokens * Math.exp(-ageMs / constants.PREFILL_LOAD_TIME_CONSTANT_MS);
  }
}
