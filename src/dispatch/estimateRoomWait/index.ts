/** What the estimate of a wait for room rests on. */
export interface RoomOutlook {
  /** Memory that generations ahead in the queue ask for, in tokens. */
  readonly aheadTokens: number;
  readonly neededTokens: number;
  /** Memory that no run is expected to take, over all engines, in tokens. */
  readonly freeTokens: number;
  /** Memory given back lately, in tokens a millisecond. */
  readonly releaseTokensPerMs: number;
}

/** Expected time until there is room for a generation, in milliseconds; Infinity where none comes back. */
export function estimateRoomWait(outlook: RoomOutlook): number {
  const missingTokens = outlook.aheadTokens + outlook.neededTokens - outlook.freeTokens;
  if (missingTokens <= 0) return 0;
  if (outlook.releaseTokensPerMs <= 0) return Infinity;
  return missingTokens / outlook.releaseTokensPerMs;
}
