import * as coldChecks from "../coldCheck/index.js";
import * as crashChecks from "../crashCheck/index.js";
import * as evacuationChecks from "../evacuationCheck/index.js";
import * as rateChecks from "../rateCheck/index.js";
import type * as processes from "../processes/index.js";
import type * as backendServers from "../../../standins/platform/backendServer/index.js";

/** Part of the calls of an account within its share that have to be served beside a flood. */
const MIN_SERVED_RATIO_OF_SHARE = 0.95;

/** Falls of brittle servers that are allowed, besides a tenth of their number. */
const MAX_FALLS_COUNT = 2;

/** A violated invariant. */
export interface Violation {
  readonly invariant: string;
  readonly detail: string;
}

/** The end of a call as its caller observed it. */
export interface CallEnd {
  readonly id: string;
  readonly isOnceOnly: boolean;
  /** HTTP status; null if the connection failed before a response. */
  readonly status: number | null;
  readonly body: string;
  /** Whether the answer was received completely. */
  readonly isWhole: boolean;
  /** Number of events expected in the stream; null for plain calls. */
  readonly eventsCount: number | null;
}

/** How a process answered a call with an API key. */
export interface KeyOutcome {
  readonly id: string;
  /** VM and start of the process. */
  readonly process: string;
  readonly apiKey: string;
  /** Whether the process had served the key before the call was made. */
  readonly hadServedKey: boolean;
  readonly status: number | null;
}

const UNAUTHORIZED_STATUS = 401;

/** Statuses that guarantee that a call was not executed and will not be. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/** Time after a server announced its shutdown in which it may still receive calls. */
const DRAINING_GRACE_MS = 2_000;

/** Time after the removal of an API key in which calls with it may still be executed. */
const KEY_REVOCATION_MS = 5_000;

/** Checks invariants on what callers and servers observe, and records each violation. */
export class InvariantChecker {
  readonly violations: Violation[] = [];
  private readonly refusedIds = new Set<string>();
  private readonly executionsCountById = new Map<string, number>();
  private readonly drainingSinceMsByServer = new Map<string, number>();
  private readonly coldServers = new coldChecks.ColdCheck();
  private readonly rates = new rateChecks.RateCheck();
  readonly evacuations = new evacuationChecks.EvacuationCheck();
  readonly crashes = new crashChecks.CrashCheck();
  private storeDisturbancesCount = 0;
  private storeRecoveredAtMs = 0;
  private readonly servedKeysByProcess = new Map<string, Set<string>>();
  private readonly removedAtMsByKey = new Map<string, number>();
  private readonly keyByCallId = new Map<string, string>();
  private readonly onceOnlyIds = new Set<string>();
  /** Number of calls that ended. */
  endsCount = 0;
  /** Number of calls that ended with status 200 and a complete answer. */
  servedCount = 0;

  /** Records that a caller is about to make a call. */
  recordCall(id: string, isOnceOnly: boolean, apiKey: string): void {
    if (isOnceOnly) this.onceOnlyIds.add(id);
    this.keyByCallId.set(id, apiKey);
  }

  /** Records the end of a call and checks its answer. */
  recordEnd(end: CallEnd): void {
    this.endsCount += 1;
    if (end.status === 200 && end.isWhole) this.servedCount += 1;
    if (end.status !== null && NOT_RUN_STATUSES.has(end.status) && end.isOnceOnly) {
      this.refusedIds.add(end.id);
      if (this.executionsCountById.has(end.id))
        this.recordViolation("refused means not run", end.id);
    }
    if (end.status === 200 && end.isWhole) this.checkBody(end);
  }

  /**
   * Records that a server began to execute a call, and checks that it may. A run that continues
   * from another engine is not counted as a further execution.
   */
  recordExecution(server: backendServers.BackendServer, call: backendServers.ReceivedCall): void {
    const { id } = call;
    const isContinued = call.headers["kv-from"] !== undefined;
    const count = (this.executionsCountById.get(id) ?? 0) + (isContinued ? 0 : 1);
    this.executionsCountById.set(id, count);
    if (this.onceOnlyIds.has(id) && count > 1) this.recordViolation("once-only runs once", id);
    if (this.refusedIds.has(id)) this.recordViolation("refused means not run", `${id} ran later`);
    if (!this.keyByCallId.has(id)) this.recordViolation("only what was asked runs", id);
    this.checkKey(id, Date.now());
    this.checkDraining(id, server.id, Date.now());
    const excess = this.rates.recordCall(server.id);
    if (excess !== null) this.recordViolation("servers get no more than they take", excess);
  }

  /** Checks that a call whose connection ended without an answer was not passed on, as its VM was not killed. */
  checkUnanswered(id: string): void {
    if (this.executionsCountById.has(id))
      this.recordViolation("calls on open connections get an answer", id);
  }

  /** Records that a server begins to name a limit of requests a second, or ends it. */
  recordLimit(serverId: string, ratePerSecond: number | null): void {
    this.rates.recordLimit(serverId, ratePerSecond);
  }

  /** Records that a server is cold for a while and bears only a rate of requests. */
  recordCold(serverId: string, ratePerSecond: number, durationMs: number): void {
    this.coldServers.recordCold(serverId, ratePerSecond, durationMs);
  }

  /** Records that a server received a request, whatever it does with it, and checks that it may. */
  recordArrival(
    server: { readonly serverId: string; readonly dataCentre: string },
    callId: string,
  ): void {
    const excess = this.coldServers.recordArrival(server.serverId);
    if (excess !== null) this.recordViolation("cold servers get no more than they bear", excess);
    const late = this.evacuations.recordArrival(server, callId, this.storeDisturbedAtMs);
    if (late !== null) this.recordViolation("evacuated data centres get nothing", late);
  }

  /** Records that a server received a call that will crash it, and checks that it may. */
  recordCrashArrival(causeName: string, callId: string): void {
    const excess = this.crashes.recordArrival(causeName, callId, this.storeDisturbedAtMs);
    if (excess !== null) this.recordViolation("work that crashes servers is withheld", excess);
  }

  /** Records a signal to a VM, or its start. */
  recordVmDisturbance(vmIndex: number): void {
    this.rates.recordVmDisturbance();
    this.evacuations.recordVmDisturbance();
    this.crashes.recordVmDisturbance(vmIndex);
  }

  /** Creates an observer that records signals, starts and unexpected ends of a VM's processes, and their memory. */
  createProcessObserver(vmIndex: number): processes.ProcessObserver {
    const record =
      (invariant: string) =>
      (detail: string): void =>
        this.recordViolation(invariant, detail);
    return {
      onDisturbed: () => this.recordVmDisturbance(vmIndex),
      onUnexpectedEnd: record("processes end only when they are told to"),
      onMemoryExceeded: record("processes keep within their memory"),
    };
  }

  /** Records that the store stops to serve every VM, until `recordStoreRecovery` is called as often. */
  recordStoreDisturbance(): void {
    this.storeDisturbancesCount += 1;
  }

  /** Records that a disturbance of the store has ended. */
  recordStoreRecovery(): void {
    this.storeDisturbancesCount -= 1;
    this.storeRecoveredAtMs = Date.now();
  }

  /** Checks how often the servers of a service have ended under rejections while they were brittle. */
  checkFalls(fallsCount: number, serversCount: number): void {
    const allowedCount = MAX_FALLS_COUNT + serversCount / 10;
    if (fallsCount <= allowedCount) return;
    const detail = `${fallsCount} falls of ${serversCount} servers, allowed ${allowedCount}`;
    this.recordViolation("brittle servers are not overloaded until they end", detail);
  }

  /** Checks how many calls of an account within its share were served while another one flooded. */
  checkShare(servedCount: number, sentCount: number): void {
    if (servedCount >= MIN_SERVED_RATIO_OF_SHARE * sentCount) return;
    const detail = `${servedCount} of ${sentCount} calls`;
    this.recordViolation("an account within its share is served beside a flood", detail);
  }

  /** Checks the events of a stream so far, over all requests by which its caller has resumed it. */
  recordResumedStream(
    id: string,
    stream: {
      readonly eventIds: readonly number[];
      readonly isWhole: boolean;
      readonly eventsCount: number;
    },
  ): void {
    const { eventIds, isWhole, eventsCount } = stream;
    this.endsCount += 1;
    if (isWhole) this.servedCount += 1;
    const isInOrder = eventIds.every((eventId, index) => eventId === index + 1);
    if (isInOrder && (!isWhole || eventIds.length === eventsCount)) return;
    const detail = `${id}: events ${eventIds.join(" ")} of ${eventsCount}`;
    this.recordViolation("resumed streams have each event once", detail);
  }

  /** Records that a server announced its shutdown. */
  recordDraining(serverId: string): void {
    this.drainingSinceMsByServer.set(serverId, Date.now());
  }

  /** Whether a process of a VM has served a call with a key. */
  hasServedKey(process: string, apiKey: string): boolean {
    return this.servedKeysByProcess.get(process)?.has(apiKey) === true;
  }

  /** Records how a process answered a call, and checks that it did not go back in its configuration. */
  recordKeyOutcome(outcome: KeyOutcome): void {
    const { id, process, apiKey, hadServedKey, status } = outcome;
    if (status === 200) {
      const servedKeys = this.servedKeysByProcess.get(process) ?? new Set();
      this.servedKeysByProcess.set(process, servedKeys.add(apiKey));
    }
    const isKeyInForce = !this.removedAtMsByKey.has(apiKey);
    if (status === UNAUTHORIZED_STATUS && hadServedKey && isKeyInForce)
      this.recordViolation("configurations never revert", `${id} at process ${process}`);
  }

  /** Checks that a VM has the newest configuration, from its answer to a call with the newest key. */
  checkInForce(vmIndex: number, apiKey: string, status: number | null): void {
    if (status === 200) return;
    const detail = `VM ${vmIndex} answered ${status ?? "nothing"} to ${apiKey}`;
    this.recordViolation("the newest configuration is in force everywhere", detail);
  }

  /** Records that an API key was removed from the configuration. */
  recordKeyRemoval(apiKey: string): void {
    this.removedAtMsByKey.set(apiKey, Date.now());
  }

  private get storeDisturbedAtMs(): number {
    return this.storeDisturbancesCount > 0 ? Date.now() : this.storeRecoveredAtMs;
  }

  private checkDraining(id: string, serverId: string, atMs: number): void {
    const drainedAtMs = this.drainingSinceMsByServer.get(serverId);
    if (drainedAtMs === undefined || this.storeDisturbancesCount > 0) return;
    // The VMs cannot learn of an announcement while the store does not serve them.
    if (atMs > Math.max(drainedAtMs, this.storeRecoveredAtMs) + DRAINING_GRACE_MS)
      this.recordViolation("servers that leave get nothing new", `${id} at ${serverId}`);
  }

  private checkKey(id: string, atMs: number): void {
    const removedAtMs = this.removedAtMsByKey.get(this.keyByCallId.get(id) ?? "");
    if (removedAtMs !== undefined && atMs > removedAtMs + KEY_REVOCATION_MS) {
      this.recordViolation("removed keys stop working", id);
    }
  }

  private checkBody({ id, body, eventsCount }: CallEnd): void {
    if (eventsCount === null) {
      if (body !== `answer to ${id}`) this.recordViolation("answers are whole and one's own", id);
      return;
    }
    const expected = Array.from(
      { length: eventsCount },
      (_, index) => `id: ${index + 1}\ndata: ${id}-${index + 1}\n\n`,
    );
    if (body !== expected.join("")) this.recordViolation("streams are whole and in order", id);
  }

  private recordViolation(invariant: string, detail: string): void {
    this.violations.push({ invariant, detail });
  }
}
