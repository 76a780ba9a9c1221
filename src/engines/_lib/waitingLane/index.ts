import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Waiting requests of one account, and the tokens served to it in this lane. */
interface AccountQueue {
  /** Sorted in the order in which they are served. */
  readonly waiting: types.GenerationNeed[];
  servedTokens: number;
}

/**
 * Waiting requests of one class and model; the account with the fewest served tokens is served
 * first.
 */
export class WaitingLane {
  /** Count of waiting requests. */
  count = 0;
  /** Model that the requests of this lane need. */
  readonly target: Pick<types.GenerationNeed, "model" | "version" | "adapter">;
  private readonly accounts = new Map<string, AccountQueue>();
  private readonly needs = new Map<string, types.GenerationNeed>();
  /** Served tokens with which a new or idle account starts, so that idle time earns no credit. */
  private minServedTokens = 0;

  constructor(
    need: types.GenerationNeed,
    private readonly basePriority: number,
  ) {
    this.target = { model: need.model, version: need.version, adapter: need.adapter };
  }

  /** Adds a request. */
  push(need: types.GenerationNeed): void {
    const { waiting } = this.getOrCreateAccount(need.accountName);
    waiting.splice(findPosition(waiting, need), 0, need);
    this.needs.set(need.requestId, need);
    this.count += 1;
  }

  /** Removes a request and returns it; null if it is not in this lane. */
  remove(requestId: string): types.GenerationNeed | null {
    const need = this.needs.get(requestId);
    const account = need === undefined ? undefined : this.accounts.get(need.accountName);
    if (need === undefined || account === undefined) return null;
    account.waiting.splice(account.waiting.indexOf(need, findPosition(account.waiting, need)), 1);
    this.needs.delete(requestId);
    this.count -= 1;
    this.forgetIdleAccounts();
    return need;
  }

  /**
   * Rank of the lane; lower is more urgent. The priority of its class decreases with the time since
   * the acceptance of the request that was added first; the interactive class always has rank 0.
   */
  rank(nowMs: number): number {
    if (this.basePriority === 0) return 0;
    const longestWaiting = this.needs.values().next().value;
    const waitedMs =
      longestWaiting === undefined ? 0 : Math.max(0, nowMs - longestWaiting.acceptedAtMs);
    return Math.max(constants.MIN_AGED_RANK, this.basePriority - waitedMs / constants.AGEING_MS);
  }

  /** The request to serve first, whether it fits on an engine or not; null if none waits. */
  first(): types.GenerationNeed | null {
    return this.sortAccountsByServedTokens()[0]?.waiting[0] ?? null;
  }

  /** The first request in order that the engine accepts; null if none of a limited count fits. */
  next(capacity: types.EngineCapacity): types.GenerationNeed | null {
    let checksLeft = constants.MAX_OFFER_SCAN_COUNT;
    for (const account of this.sortAccountsByServedTokens()) {
      for (const need of account.waiting.slice(0, checksLeft)) {
        if (capacity.accepts(need)) return need;
        checksLeft -= 1;
      }
      if (checksLeft <= 0) return null;
    }
    return null;
  }

  /** Charges a request's prompt and expected output to its account. */
  charge(need: types.GenerationNeed, expectedOutputTokens: number): void {
    const account = this.accounts.get(need.accountName);
    if (account === undefined) return;
    this.minServedTokens = Math.max(this.minServedTokens, account.servedTokens);
    account.servedTokens += need.promptTokens + expectedOutputTokens;
  }

  /** Requests that have not started and whose deadline has passed. */
  listExpired(nowMs: number): readonly types.GenerationNeed[] {
    const isExpired = (need: types.GenerationNeed): boolean =>
      need.producedTokens === 0 && need.deadlineAtMs <= nowMs;
    return [...this.needs.values()].filter(isExpired);
  }

  private forgetIdleAccounts(): void {
    if (this.accounts.size <= constants.MAX_REMEMBERED_ACCOUNTS_COUNT) return;
    for (const [name, account] of this.accounts) {
      if (account.waiting.length === 0) this.accounts.delete(name);
    }
  }

  /** Finds or creates an account; a new or idle one starts with at least `minServedTokens`. */
  private getOrCreateAccount(accountName: string): AccountQueue {
    const known = this.accounts.get(accountName);
    if (known === undefined) {
      const created = { waiting: [], servedTokens: this.minServedTokens };
      this.accounts.set(accountName, created);
      return created;
    }
    if (known.waiting.length > 0) return known;
    known.servedTokens = Math.max(known.servedTokens, this.minServedTokens);
    return known;
  }

  private sortAccountsByServedTokens(): readonly AccountQueue[] {
    const waiting = [...this.accounts.values()].filter((account) => account.waiting.length > 0);
    return waiting.sort((left, right) => left.servedTokens - right.servedTokens);
  }
}

/** Index of the first waiting request that is not more urgent than the given one. */
function findPosition(
  waiting: readonly types.GenerationNeed[],
  need: types.GenerationNeed,
): number {
  let low = 0;
  let high = waiting.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    const other = waiting[middle];
    if (other !== undefined && compareUrgency(other, need) < 0) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** Orders started requests first, then by deadline, then by acceptance time. */
function compareUrgency(left: types.GenerationNeed, right: types.GenerationNeed): number {
  return (
    Number(right.producedTokens > 0) - Number(left.producedTokens > 0) ||
    left.deadlineAtMs - right.deadlineAtMs ||
    left.acceptedAtMs - right.acceptedAtMs
  );
}
