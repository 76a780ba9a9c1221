/** Ratio before any output is observed; lengths are skewed, so their mean exceeds the median. */
const INITIAL_RATIO = 1.2;

/** Weight of the newest output in the moving mean, which covers about the last fifty outputs. */
const NEWEST_RATIO_WEIGHT = 0.04;

/** Upper bound of an observed ratio, so that a single wrong hint does not distort the mean. */
const MAX_OBSERVED_RATIO = 6;

/** Learns, for each route, the ratio of output lengths to the callers' hints. */
export class OutputLengths {
  private readonly ratios = new Map<string, number>();

  /** Expected output length as a multiple of the caller's hint. */
  ratioOf(routeName: string): number {
    return this.ratios.get(routeName) ?? INITIAL_RATIO;
  }

  /** Records the length of a complete output; outputs without a positive hint are ignored. */
  recordLength(routeName: string, hintedTokens: number | null, outputTokens: number): void {
    if (hintedTokens === null || hintedTokens <= 0) return;
    const known = this.ratioOf(routeName);
    const observed = Math.min(MAX_OBSERVED_RATIO, outputTokens / hintedTokens);
    this.ratios.set(routeName, known + NEWEST_RATIO_WEIGHT * (observed - known));
  }
}
