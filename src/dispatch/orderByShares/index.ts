import * as computeAccountShares from "../computeAccountShares/index.js";
import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/** When a generation is served, before the order of the queue applies. */
enum Turn {
  /** Continuations of streams, which would break off. */
  Continuation,
  /** What a kind of work, or the largest generation, is owed whatever its priority. */
  Floor,
  WithinShare,
  BeyondShare,
}

interface Ranked<T> {
  readonly waiting: T;
  readonly tokens: number;
  turn: Turn;
  /** Memory that its account uses before it, counting its earlier generations in the queue. */
  readonly usedBeforeTokens: number;
}

/**
 * Reorders a queue in which more than one account waits for memory that does not suffice: what is within
 * its account's share goes before what is beyond it, within the shares by priority; among equals the account
 * that uses least goes first. Within an account the order of the queue is kept. An account that went beyond
 * its share while nobody else wanted it owes nothing: it counts with what it uses now.
 *
 * Each kind of work, by priority, is owed a floor of the memory, and one large generation that has
 * missed its objective goes ahead, so that neither is starved by what keeps arriving before it.
 *
 * The load that it answers is an account that sends more than the engines can serve. Without contention,
 * with one account, or while a VM of an earlier release names no accounts, the order is kept.
 *
 * @param ordered - waiting generations of one service, in queue order
 * @param nowWallMs - current time on the wall clock
 */
export function orderByShares<T extends types.WaitingGeneration>(
  ordered: readonly T[],
  claimed: computeAccountShares.ClaimedEngines,
  nowWallMs: number,
): readonly T[] {
  if (!isCompetedFor(ordered, claimed.engines)) return ordered;
  const ranked = rankByShares(ordered, computeAccountShares.computeAccountShares(ordered, claimed));
  promoteKinds(ranked, claimed);
  promoteLarge(ranked, nowWallMs);
  return ranked.sort(compareRanked).map(({ waiting }) => waiting);
}

/** Whether several accounts want memory that does not suffice, and all VMs name their accounts. */
export function isCompetedFor(
  waiting: readonly types.WaitingGeneration[],
  engines: readonly types.EngineCandidate[],
): boolean {
  const accounts = new Set(
    waiting.filter((entry) => !isContinuation(entry)).map(({ accountName }) => accountName),
  );
  if (accounts.size < 2 || accounts.has(undefined)) return false;
  return computeAccountShares.isContended(waiting, engines);
}

function isContinuation({ priority }: types.WaitingGeneration): boolean {
  return priority < 0;
}

function rankByShares<T extends types.WaitingGeneration>(
  ordered: readonly T[],
  shares: computeAccountShares.AccountShares,
): Ranked<T>[] {
  const usedTokens = new Map([...shares].map(([name, share]) => [name, share.usedTokens]));
  return ordered.map((waiting) => {
    const tokens = selectEngines.estimateTokens(waiting.need);
    const name = waiting.accountName ?? null;
    const usedBeforeTokens = usedTokens.get(name) ?? 0;
    if (isContinuation(waiting)) {
      return { waiting, tokens, turn: Turn.Continuation, usedBeforeTokens };
    }
    usedTokens.set(name, usedBeforeTokens + tokens);
    // A share smaller than one generation still admits one.
    const isWithin = usedBeforeTokens < (shares.get(name)?.shareTokens ?? 0);
    const turn = isWithin ? Turn.WithinShare : Turn.BeyondShare;
    return { waiting, tokens, turn, usedBeforeTokens };
  });
}

/** Gives each kind of work its floor: first from what is within the shares, then from the rest. */
function promoteKinds<T extends types.WaitingGeneration>(
  ranked: readonly Ranked<T>[],
  { engines, runs }: computeAccountShares.ClaimedEngines,
): void {
  const kinds = new Set(ranked.map(({ waiting }) => waiting.priority).filter((kind) => kind >= 0));
  if (kinds.size < 2) return;
  const memoryTokens = engines.reduce((sum, engine) => sum + engine.memoryTokens, 0);
  const floorTokens = (constants.KINDS_FLOOR_RATIO * memoryTokens) / kinds.size;
  const usedTokens = new Map<number, number>();
  for (const { origin, promptTokens, producedTokens } of runs) {
    if (origin === undefined) continue;
    const used = usedTokens.get(origin.priority) ?? 0;
    usedTokens.set(origin.priority, used + promptTokens + producedTokens);
  }
  for (const turn of [Turn.WithinShare, Turn.BeyondShare]) {
    for (const entry of ranked.filter((candidate) => candidate.turn === turn)) {
      const used = usedTokens.get(entry.waiting.priority) ?? 0;
      if (used >= floorTokens) continue;
      usedTokens.set(entry.waiting.priority, used + entry.tokens);
      entry.turn = Turn.Floor;
    }
  }
}

/** Promotes the large generation within its share that has missed its objective and waited longest. */
function promoteLarge<T extends types.WaitingGeneration>(
  ranked: readonly Ranked<T>[],
  nowWallMs: number,
): void {
  const meanTokens = ranked.reduce((sum, { tokens }) => sum + tokens, 0) / ranked.length;
  let longest: Ranked<T> | undefined;
  for (const entry of ranked) {
    const { turn, tokens, waiting } = entry;
    const isLarge = tokens >= constants.LARGE_NEED_RATIO * meanTokens;
    if (turn !== Turn.WithinShare || !isLarge || waiting.objectiveAtWallMs >= nowWallMs) continue;
    if (longest === undefined || waiting.enqueuedAtWallMs < longest.waiting.enqueuedAtWallMs)
      longest = entry;
  }
  if (longest !== undefined) longest.turn = Turn.Floor;
}

/** The sort is stable, so that equal entries keep the order of the queue. */
function compareRanked<T extends types.WaitingGeneration>(
  left: Ranked<T>,
  right: Ranked<T>,
): number {
  if (left.turn !== right.turn) return left.turn - right.turn;
  if (left.turn === Turn.Continuation || left.turn === Turn.Floor) return 0;
  const isWithinShare = left.turn === Turn.WithinShare;
  if (isWithinShare && left.waiting.priority !== right.waiting.priority)
    return left.waiting.priority - right.waiting.priority;
  return left.usedBeforeTokens - right.usedBeforeTokens;
}
