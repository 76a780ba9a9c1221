import type * as engines from "../../src/engines/index.js";

/** The distribution of a length that is known. */
class KnownLength implements engines.LengthDistribution {
  constructor(private readonly totalTokens: number) {}

  survival(tokens: number): number {
    return tokens < this.totalTokens ? 1 : 0;
  }

  residual(producedTokens: number): engines.ResidualEstimate {
    return { meanTokens: this.totalTokens - producedTokens, deviationTokens: 0 };
  }

  residualQuantile(producedTokens: number): number {
    return this.totalTokens - producedTokens;
  }
}

/** Knows every output's true length: the limit of what learning can reach. */
export class KnownLengths implements engines.LengthEstimator {
  private readonly known = new Map<string, KnownLength>();

  constructor(private readonly trueTokensOf: (requestId: string) => number) {}

  distributionFor(need: engines.GenerationNeed): engines.LengthDistribution {
    const known = this.known.get(need.requestId);
    if (known !== undefined) return known;
    const created = new KnownLength(this.trueTokensOf(need.requestId));
    this.known.set(need.requestId, created);
    return created;
  }

  observe(need: engines.GenerationNeed): void {
    this.known.delete(need.requestId);
  }
}
