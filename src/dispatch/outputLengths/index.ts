/** Ratio of outputs to hints before any was seen: lengths are skewed, so that the mean is above the median. */
const INITIAL_RATIO = 1.2;

/** Weight of the newest output; about the last fifty count. */
const RATIO_WEIGHT = 0.04;

/** A single output counts no further than this, so that one odd hint does not spoil the mean. */
const MAX_RATIO = 6;

/** Learns how long outputs are against their callers' hints, for each route. */
export class OutputLengths {
  private readonly ratios = new Map<string, number>();

  /** Expected output as a multiple of the caller's hint. */
  ratioOf(routeName: string): number {
    return this.ratios.get(routeName) ?? INITIAL_RATIO;
  }

  /** Takes in the length of a whole output, in tokens. */
  note(routeName: string, hintedTokens: number | null, outputTokens: number): void {
    if (hintedTokens === null || hintedTokens <= 0) return;
    const known = this.ratioOf(routeName);
    const observed = Math.min(MAX_RATIO, outputTokens / hintedTokens);
    this.ratios.set(routeName, known + RATIO_WEIGHT * (observed - known));
  }
}
