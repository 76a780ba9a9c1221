import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Waiting requests of one account, and how much service the account had in this lane. */
interface AccountQueue {
  /** In the order in which they are served. */
  readonly waiting: types.GenerationNeed[];
  servedTokens: number;
}

/** Requests that wait in one class for one model; accounts share the lane fairly. */
export class WaitingLane {
  count = 0;
  readonly target: Pick<types.GenerationNeed, "model" | "version" | "adapter">;
  private readonly accounts = new Map<string, AccountQueue>();
  private readonly needs = new Map<string, types.GenerationNeed>();
  /** Service that an account starts with when it comes back, so that idle time earns no credit. */
  private floorTokens = 0;

  constructor(
    need: types.GenerationNeed,
    private readonly basePriority: number,
  ) {
    this.target = { model: need.model, version: need.version, adapter: need.adapter };
  }

  push(need: types.GenerationNeed): void {
    const { waiting } = this.accountFor(need.accountName);
    waiting.splice(positionOf(waiting, need), 0, need);
    this.needs.set(need.requestId, need);
    this.count += 1;
  }

  remove(requestId: string): types.GenerationNeed | null {
    const need = this.needs.get(requestId);
    const account = need === undefined ? undefined : this.accounts.get(need.accountName);
    if (need === undefined || account === undefined) return null;
    account.waiting.splice(account.waiting.indexOf(need, positionOf(account.waiting, need)), 1);
    this.needs.delete(requestId);
    this.count -= 1;
    this.forgetIdleAccounts();
    return need;
  }

  /** Rank of the lane's longest waiting request: its class, made more urgent by waiting. */
  rank(nowMs: number): number {
    if (this.basePriority === 0) return 0;
    const oldest = this.needs.values().next().value;
    const waitedMs = oldest === undefined ? 0 : Math.max(0, nowMs - oldest.acceptedAtMs);
    return Math.max(constants.MOST_AGED_RANK, this.basePriority - waitedMs / constants.AGEING_MS);
  }

  /** The request whose turn it is, whether it fits anywhere or not. */
  first(): types.GenerationNeed | null {
    return this.accountsByService()[0]?.waiting[0] ?? null;
  }

  /** The request whose turn it is among those that the engine accepts. */
  next(room: types.EngineRoom): types.GenerationNeed | null {
    let offersLeft = constants.MAX_OFFER_SCAN_COUNT;
    for (const account of this.accountsByService()) {
      for (const need of account.waiting.slice(0, offersLeft)) {
        if (room.accepts(need)) return need;
        offersLeft -= 1;
      }
      if (offersLeft <= 0) return null;
    }
    return null;
  }

  /** Counts service to an account. */
  charge(need: types.GenerationNeed, tokens: number): void {
    const account = this.accounts.get(need.accountName);
    if (account === undefined) return;
    this.floorTokens = Math.max(this.floorTokens, account.servedTokens);
    account.servedTokens += need.promptTokens + tokens;
  }

  expired(nowMs: number): readonly types.GenerationNeed[] {
    const isExpired = (need: types.GenerationNeed): boolean =>
      need.producedTokens === 0 && need.deadlineAtMs <= nowMs;
    return [...this.needs.values()].filter(isExpired);
  }

  private forgetIdleAccounts(): void {
    if (this.accounts.size <= constants.MAX_REMEMBERED_ACCOUNTS) return;
    for (const [name, account] of this.accounts) {
      if (account.waiting.length === 0) this.accounts.delete(name);
    }
  }

  private accountFor(accountName: string): AccountQueue {
    const known = this.accounts.get(accountName);
    if (known === undefined) {
      const created = { waiting: [], servedTokens: this.floorTokens };
      this.accounts.set(accountName, created);
      return created;
    }
    if (known.waiting.length > 0) return known;
    known.servedTokens = Math.max(known.servedTokens, this.floorTokens);
    return known;
  }

  private accountsByService(): readonly AccountQueue[] {
    const waiting = [...this.accounts.values()].filter((account) => account.waiting.length > 0);
    return waiting.sort((left, right) => left.servedTokens - right.servedTokens);
  }
}

/** Where a request stands, or would stand before others of the same urgency. */
function positionOf(waiting: readonly types.GenerationNeed[], need: types.GenerationNeed): number {
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

/** Work that has started goes first, then the earliest deadline, then the first accepted. */
function compareUrgency(left: types.GenerationNeed, right: types.GenerationNeed): number {
  return (
    Number(right.producedTokens > 0) - Number(left.producedTokens > 0) ||
    left.deadlineAtMs - right.deadlineAtMs ||
    left.acceptedAtMs - right.acceptedAtMs
  );
}
