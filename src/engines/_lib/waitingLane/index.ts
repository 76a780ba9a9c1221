import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Waiting requests of one account, and how much service the account had in this lane. */
interface AccountQueue {
  readonly waiting: Map<string, types.GenerationNeed>;
  servedTokens: number;
}

/** Requests that wait in one class for one model; accounts share the lane fairly. */
export class WaitingLane {
  count = 0;
  readonly target: Pick<types.GenerationNeed, "model" | "version" | "adapter">;
  private readonly accounts = new Map<string, AccountQueue>();
  private readonly accountOf = new Map<string, AccountQueue>();
  /** Service that an account starts with when it comes back, so that idle time earns no credit. */
  private floorTokens = 0;

  constructor(
    need: types.GenerationNeed,
    private readonly basePriority: number,
  ) {
    this.target = { model: need.model, version: need.version, adapter: need.adapter };
  }

  push(need: types.GenerationNeed): void {
    const account = this.accountFor(need.accountName);
    account.waiting.set(need.requestId, need);
    this.accountOf.set(need.requestId, account);
    this.count += 1;
  }

  remove(requestId: string): types.GenerationNeed | null {
    const account = this.accountOf.get(requestId);
    const need = account?.waiting.get(requestId);
    if (account === undefined || need === undefined) return null;
    account.waiting.delete(requestId);
    this.accountOf.delete(requestId);
    this.count -= 1;
    this.forgetIdleAccounts();
    return need;
  }

  /** Rank of the lane's oldest request: its class, made more urgent by waiting. */
  rank(nowMs: number): number {
    if (this.basePriority === 0) return 0;
    let oldestAtMs = Infinity;
    for (const account of this.accounts.values()) {
      const oldest = account.waiting.values().next().value;
      if (oldest !== undefined) oldestAtMs = Math.min(oldestAtMs, oldest.acceptedAtMs);
    }
    const waitedMs = Math.max(0, nowMs - oldestAtMs);
    return Math.max(0.5, this.basePriority - waitedMs / constants.AGEING_MS);
  }

  /** The request whose turn it is, whether it fits anywhere or not. */
  first(): types.GenerationNeed | null {
    const account = this.accountsByService()[0];
    return account === undefined ? null : (byDeadline(account)[0] ?? null);
  }

  /** The request whose turn it is among those that the engine accepts. */
  next(room: types.EngineRoom): types.GenerationNeed | null {
    for (const account of this.accountsByService()) {
      const inTurn = byDeadline(account).slice(0, constants.MAX_OFFER_SCAN_COUNT);
      for (const need of inTurn) if (room.accepts(need)) return need;
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
    return [...this.accounts.values()].flatMap((account) =>
      [...account.waiting.values()].filter(
        (need) => need.producedTokens === 0 && need.deadlineAtMs <= nowMs,
      ),
    );
  }

  private forgetIdleAccounts(): void {
    if (this.accounts.size <= constants.MAX_REMEMBERED_ACCOUNTS) return;
    for (const [name, account] of this.accounts) {
      if (account.waiting.size === 0) this.accounts.delete(name);
    }
  }

  private accountFor(accountName: string): AccountQueue {
    const known = this.accounts.get(accountName);
    if (known !== undefined) {
      if (known.waiting.size > 0) return known;
      known.servedTokens = Math.max(known.servedTokens, this.floorTokens);
      return known;
    }
    const created = { waiting: new Map(), servedTokens: this.floorTokens };
    this.accounts.set(accountName, created);
    return created;
  }

  private accountsByService(): readonly AccountQueue[] {
    const waiting = [...this.accounts.values()].filter((account) => account.waiting.size > 0);
    return waiting.sort((left, right) => left.servedTokens - right.servedTokens);
  }
}

/** Work that has started goes first, then the earliest deadline. */
function byDeadline(account: AccountQueue): readonly types.GenerationNeed[] {
  return [...account.waiting.values()].sort(
    (left, right) =>
      Number(right.producedTokens > 0) - Number(left.producedTokens > 0) ||
      left.deadlineAtMs - right.deadlineAtMs,
  );
}
