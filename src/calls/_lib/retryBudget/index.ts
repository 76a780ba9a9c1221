/** A token bucket that first attempts fill and further attempts empty. */
export class RetryBudget {
  private savedTokens: number;

  /**
   * @param tokensPerCall - what each first attempt adds
   * @param maxTokens - what may be saved up
   */
  constructor(
    private readonly tokensPerCall: number,
    private readonly maxTokens: number,
  ) {
    this.savedTokens = maxTokens;
  }

  get tokens(): number {
    return this.savedTokens;
  }

  /** Notes a first attempt. */
  deposit(): void {
    this.savedTokens = Math.min(this.maxTokens, this.savedTokens + this.tokensPerCall);
  }

  /** Takes a further attempt out of the budget; false where it does not allow one. */
  tryTake(): boolean {
    if (this.savedTokens < 1) return false;
    this.savedTokens -= 1;
    return true;
  }
}
