import type * as engines from "../../src/engines/index.js";

/** The degenerate distribution of a known output length. */
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

/** Estimates every output by its true length: the upper bound on what learned estimates achieve. */
export class KnownLengths implements engines.LengthEstimator {
  private readonly knownByRequestId = new Map<string, KnownLength>();

  constructor(private readonly trueTokensOf: (requestId: string) => number) {}

  distributionFor(need: engines.GenerationNeed): engines.LengthDistribution {
    const known = this.knownByRequestId.get(need.requestId);
    if (known !== undefined) return known;
    const created = new KnownLength(this.trueTokensOf(need.requestId));
    this.knownByRequestId.set(need.requestId, created);
    return created;
  }

  observe(need: engines.GenerationNeed): void {
    this.knownByRequestId.delete(need.requestId);
  }
}
