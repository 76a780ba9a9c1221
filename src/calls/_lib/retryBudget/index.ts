/** A token bucket for retries: each call adds to it, each further attempt takes one token. */
export class RetryBudget {
  private availableTokens: number;

  /**
   * @param tokensPerCall - tokens that each call adds
   * @param maxTokens - capacity of the bucket; it starts full
   */
  constructor(
    private readonly tokensPerCall: number,
    private readonly maxTokens: number,
  ) {
    this.availableTokens = maxTokens;
  }

  /** Number of tokens in the bucket; may be fractional. */
  get tokens(): number {
    return this.availableTokens;
  }

  /** Adds the tokens of one call. */
  deposit(): void {
    this.availableTokens = Math.min(this.maxTokens, this.availableTokens + this.tokensPerCall);
  }

  /** Takes a token for a further attempt; returns false if less than one is available. */
  tryTake(): boolean {
    if (this.availableTokens < 1) return false;
    this.availableTokens -= 1;
    return true;
  }
}
