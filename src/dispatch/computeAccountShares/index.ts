import * as divideByDemand from "../../_lib/divideByDemand/index.js";
import * as claimTables from "../claimTable/index.js";
import * as constants from "../constants.js";
import * as selectEngines from "../selectEngine/index.js";
import type * as types from "../types.js";

/** Engines of a service and the claims of all VMs on them. */
export interface ClaimedEngines {
  readonly engines: readonly types.EngineCandidate[];
  /** Claims of runs, without backups and migrations. */
  readonly runs: readonly types.Claim[];
}

/** What an account may use of the engines' memory, and what it uses and wants; in tokens. */
export interface AccountShare {
  readonly shareTokens: number;
  readonly usedTokens: number;
  readonly queuedTokens: number;
}

/** The shares of all accounts, by account name; null for anonymous callers. */
export type AccountShares = ReadonlyMap<string | null, AccountShare>;

/**
 * Divides the memory of a service's engines among the accounts that use or want it: each gets what it wants
 * up to a common level (max-min fairness), so that shares that are not wanted go to the others. The load
 * that it answers is one account that asks for more than there is while others ask for little.
 *
 * Memory that is used by backups, or by runs of which it is not known whose they are, is not divided.
 */
export function computeAccountShares(
  waiting: readonly types.WaitingGeneration[],
  { engines, runs }: ClaimedEngines,
): AccountShares {
  const used = new Map<string | null, number>();
  const queued = new Map<string | null, number>();
  for (const claim of runs) {
    if (claim.origin === undefined) continue;
    add(used, claim.origin.accountName, claimTables.computeCommittedTokens(claim));
  }
  for (const { accountName, need } of waiting) {
    if (accountName !== undefined) add(queued, accountName, selectEngines.estimateTokens(need));
  }
  const accounts = [...new Set([...used.keys(), ...queued.keys()])];
  const totalTokens = sumFreeTokens(engines) + sum(used.values());
  const demands = accounts.map((name) => (used.get(name) ?? 0) + (queued.get(name) ?? 0));
  const parts = divideByDemand.divideByDemand(totalTokens, demands);
  return new Map(
    accounts.map((name, index) => {
      const usedTokens = used.get(name) ?? 0;
      const queuedTokens = queued.get(name) ?? 0;
      return [name, { shareTokens: parts[index] ?? 0, usedTokens, queuedTokens }];
    }),
  );
}

/** Memory of all engines that new runs may commit. */
export function sumFreeTokens(engines: readonly types.EngineCandidate[]): number {
  return sum(engines.map(freeTokensOf));
}

/** Whether generations wait that do not fit: together, or one of them on any engine. */
export function isContended(
  waiting: readonly types.WaitingGeneration[],
  engines: readonly types.EngineCandidate[],
): boolean {
  const needs = waiting.map(({ need }) => selectEngines.estimateTokens(need));
  const mostTokens = Math.max(...engines.map(selectEngines.availableTokens));
  return sum(needs) > sumFreeTokens(engines) || needs.some((tokens) => tokens > mostTokens);
}

function freeTokensOf(engine: types.EngineCandidate): number {
  if (selectEngines.availableTokens(engine) < 0) return 0;
  return Math.max(0, constants.MAX_COMMITTED_RATIO * engine.memoryTokens - engine.committedTokens);
}

function add(totals: Map<string | null, number>, accountName: string | null, tokens: number): void {
  totals.set(accountName, (totals.get(accountName) ?? 0) + tokens);
}

function sum(values: Iterable<number>): number {
  let total = 0;
  for (const value of values) total += value;
  return total;
}
