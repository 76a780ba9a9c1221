import type * as backendServers from "../../../standins/platform/backendServer/index.js";

/** A promise that did not hold. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}

/** How a caller saw a call end. */
export interface CallEnd {
  readonly id: string;
  readonly isOnceOnly: boolean;
  /** Null where the connection was closed. */
  readonly status: number | null;
  readonly body: string;
  readonly isWhole: boolean;
  /** Events that the stream should have; null for plain calls. */
  readonly eventsCount: number | null;
}

/** Statuses that promise that a call has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Time after the note of its leaving in which a server may still be sent calls. */
const DRAIN_MS = 2_000;

/** Time after the removal of a key in which calls with it may still run. */
const REVOKE_MS = 5_000;

/** Watches what callers and servers see, and notes each promise that does not hold. */
export class Checks {
  readonly violations: Violation[] = [];
  private readonly refusedIds = new Set<string>();
  private readonly runCounts = new Map<string, number>();
  private readonly drainedAt = new Map<string, number>();
  private readonly keyRemovedAt = new Map<string, number>();
  private readonly keyOf = new Map<string, string>();
  private readonly onceOnlyIds = new Set<string>();
  endsCount = 0;
  servedCount = 0;

  /** A caller is about to make a call. */
  noteCall(id: string, isOnceOnly: boolean, apiKey: string): void {
    if (isOnceOnly) this.onceOnlyIds.add(id);
    this.keyOf.set(id, apiKey);
  }

  /** A caller saw a call end. */
  noteEnd(end: CallEnd): void {
    this.endsCount += 1;
    if (end.status === 200 && end.isWhole) this.servedCount += 1;
    if (end.status !== null && NOT_RUN_STATUSES.has(end.status) && end.isOnceOnly) {
      this.refusedIds.add(end.id);
      if (this.runCounts.has(end.id)) this.violate("refused means not run", end.id);
    }
    if (end.status === 200 && end.isWhole) this.checkBody(end);
  }

  /** A server began to run a call. */
  noteRun(server: backendServers.BackendServer, call: backendServers.ReceivedCall): void {
    const { id } = call;
    const isContinued = call.headers["kv-from"] !== undefined;
    const count = (this.runCounts.get(id) ?? 0) + (isContinued ? 0 : 1);
    this.runCounts.set(id, count);
    if (this.onceOnlyIds.has(id) && count > 1) this.violate("once-only runs once", id);
    if (this.refusedIds.has(id)) this.violate("refused means not run", `${id} ran later`);
    if (!this.keyOf.has(id)) this.violate("only what was asked runs", id);
    this.checkKey(id, Date.now());
    const drainedAtMs = this.drainedAt.get(server.id);
    if (drainedAtMs !== undefined && Date.now() > drainedAtMs + DRAIN_MS) {
      this.violate("servers that leave get nothing new", `${id} at ${server.id}`);
    }
  }

  noteDrained(serverId: string): void {
    this.drainedAt.set(serverId, Date.now());
  }

  noteKeyRemoved(apiKey: string): void {
    this.keyRemovedAt.set(apiKey, Date.now());
  }

  private checkKey(id: string, atMs: number): void {
    const removedAtMs = this.keyRemovedAt.get(this.keyOf.get(id) ?? "");
    if (removedAtMs !== undefined && atMs > removedAtMs + REVOKE_MS) {
      this.violate("removed keys stop working", id);
    }
  }

  private checkBody({ id, body, eventsCount }: CallEnd): void {
    if (eventsCount === null) {
      if (body !== `answer to ${id}`) this.violate("answers are whole and one's own", id);
      return;
    }
    const expected = Array.from(
      { length: eventsCount },
      (_, index) => `id: ${index + 1}\ndata: ${id}-${index + 1}\n\n`,
    );
    if (body !== expected.join("")) this.violate("streams are whole and in order", id);
  }

  private violate(promise: string, detail: string): void {
    this.violations.push({ promise, detail });
  }
}
