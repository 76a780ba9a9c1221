import type * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as archiveWriters from "../_lib/archiveWriter/index.js";
import * as watchedRuns from "../_lib/watchedRun/index.js";
import * as constants from "../constants.js";
import * as crashLedgers from "../crashLedger/index.js";
import * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

export type { WatchedRun } from "../_lib/watchedRun/index.js";

/** Dependencies of the crash monitor. */
export interface CrashMonitorContext {
  readonly clock: clocks.Clock;
  readonly log: diagnostics.DecisionLog;
  readonly vmName: string;
  readonly archive: types.SuspectArchive;
  /** Sends the other VMs what this one has learned. */
  readonly announce: (reports: readonly types.SuspectReport[]) => void;
  /** Whether a server may end for another reason than its work: it leaves, or rejected too many requests. */
  readonly isEndExpected: (server: types.ServerStart) => boolean;
  /** Finds out whether a process listens at a server's address. */
  readonly probe: (server: types.ServerStart, timeoutMs: number) => Promise<types.ListenerState>;
}

/**
 * Finds out which work makes servers end, and keeps it from them. It watches the runs of this VM,
 * and exchanges with the other VMs what it sees. A broken connection alone is no sign of a server's
 * end: only a host that refuses connections is, unless the server was leaving or this VM has been
 * paused.
 */
export class CrashMonitor {
  private readonly ledger: crashLedgers.CrashLedger;
  private readonly writer: archiveWriters.ArchiveWriter;
  private readonly probes = new Map<string, Promise<types.ListenerState>>();
  private pauseEndedAtMs = -Infinity;

  constructor(private readonly context: CrashMonitorContext) {
    this.ledger = new crashLedgers.CrashLedger(context.clock, (...change) =>
      this.logBlameChange(...change),
    );
    this.writer = new archiveWriters.ArchiveWriter(context.clock, context.archive, (reports) =>
      this.ledger.applyReports(reports),
    );
  }

  /** Number of suspects whose work is not sent to any server. */
  get blamedCount(): number {
    return this.ledger.blamedCount;
  }

  /** Returns why work must not be sent to any server; null if it may be. */
  findBlame({ suspects }: Pick<types.Work, "suspects">): types.Blame | null {
    return this.ledger.findBlame(suspects);
  }

  /** Lists what this VM knows, for a peer. */
  listReports(): readonly types.SuspectReport[] {
    return this.ledger.listReports();
  }

  /** Merges what a peer knows. */
  applyReports(reports: readonly types.SuspectReport[]): void {
    this.ledger.applyReports(reports);
  }

  /** Forgets what is old, and exchanges with the archive. Has to be called periodically. */
  sweep(): void {
    this.ledger.sweep();
    void this.writer.flush();
  }

  /** Saves again what this VM has observed last, as the store may have lost it. */
  restoreArchive(): void {
    const { vmName } = this.context;
    const blamed = this.ledger.listBlamed();
    this.writer.save(blamed.filter(({ ends }) => ends.at(-1)?.vmName === vmName));
  }

  /** Starts to watch work that is being sent to a server; the signal ends the watch. */
  watch(server: types.ServerStart, work: types.Work, signal: AbortSignal): watchedRuns.WatchedRun {
    this.announce(this.ledger.startTrial(work.suspects));
    const run = new watchedRuns.WatchedRun(this.context.clock, {
      onSurvived: () => this.recordSurvival(work),
      onBroken: (times) => this.examineBreak(server, work, times),
    });
    signal.addEventListener("abort", () => run[Symbol.dispose](), { once: true });
    return run;
  }

  /** Records that this VM was paused until now. */
  recordPause(): void {
    this.pauseEndedAtMs = this.context.clock.nowMs();
  }

  private async examineBreak(
    server: types.ServerStart,
    work: types.Work,
    { sentAtMs, begunAtMs }: watchedRuns.RunTimes,
  ): Promise<boolean> {
    const { clock, log, isEndExpected } = this.context;
    const brokenAtMs = clock.nowMs();
    if (isEndExpected(server)) return false;
    const state = await this.probeOnce(server);
    const isExcused = clock.nowMs() < this.pauseEndedAtMs + constants.PAUSE_EXCUSE_MS;
    if (state !== types.ListenerState.Refuses || isExcused) return false;
    log.record(Importance.StateChange, LogEvent.ServerEnded, {
      serverId: server.id,
      service: server.serviceName,
      requestId: work.requestId,
      sentAgoMs: Math.round(brokenAtMs - sentAtMs),
      begunAgoMs: begunAtMs === null ? null : Math.round(brokenAtMs - begunAtMs),
      suspects: describeSuspects(work.suspects),
    });
    const { id: serverId, bornAtWallMs } = server;
    const { vmName } = this.context;
    const end = { serverId, bornAtWallMs, vmName, sentAtMs, endedAtMs: brokenAtMs };
    this.announce(this.ledger.recordEnd(work.suspects, end));
    this.writer.save(this.ledger.listBlamed(work.suspects));
    return true;
  }

  private recordSurvival({ suspects }: types.Work): void {
    const blamed = this.ledger.listBlamed(suspects);
    this.announce(this.ledger.recordSurvival(suspects));
    this.writer.remove(blamed);
  }

  private announce(reports: readonly types.SuspectReport[]): void {
    if (reports.length > 0) this.context.announce(reports);
  }

  private logBlameChange(
    { kind, key }: types.Suspect,
    ends: readonly types.ServerEnd[],
    isBlamed: boolean,
  ): void {
    const { clock, log } = this.context;
    const event = isBlamed ? LogEvent.SuspectBlamed : LogEvent.SuspectCleared;
    const servers = ends.map(({ serverId, vmName, endedAtMs }) => {
      return `${serverId} ${Math.round(clock.nowMs() - endedAtMs)} ms ago seen by ${vmName}`;
    });
    log.record(Importance.StateChange, event, { kind, key, servers: servers.join(", ") });
  }

  /** Probes a server once for all runs that broke on it at the same time. */
  private probeOnce(server: types.ServerStart): Promise<types.ListenerState> {
    const { clock, probe } = this.context;
    const id = `${server.id}@${server.bornAtWallMs}`;
    const pending = this.probes.get(id);
    if (pending !== undefined) return pending;
    const started = probe(server, constants.PROBE_TIMEOUT_MS).then((state) => {
      // A server that still listens may end a moment later.
      if (state !== types.ListenerState.Refuses) this.probes.delete(id);
      return state;
    });
    this.probes.set(id, started);
    clock.schedule(constants.PROBE_RETENTION_MS, () => void this.probes.delete(id));
    return started;
  }
}

function describeSuspects(suspects: readonly types.Suspect[]): string {
  const logged = suspects.slice(0, constants.MAX_LOGGED_SUSPECTS_COUNT);
  const omittedCount = suspects.length - logged.length;
  const texts = logged.map(({ kind, key }) => `${kind} ${key}`);
  return [...texts, ...(omittedCount > 0 ? [`${omittedCount} more`] : [])].join(", ");
}
