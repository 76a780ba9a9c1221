import type * as clocks from "../../../_lib/clock/index.js";
import type * as types from "../../types.js";

/**
 * Writes blamed suspects to the archive, so that they survive the end of all VMs, and reads those
 * of former processes. What fails is tried again at the next call of `flush`.
 */
export class ArchiveWriter {
  private readonly pending = new Map<string, types.ArchiveChange>();
  private hasLoaded = false;
  private isFlushing = false;

  /**
   * @param onLoaded - called once with the suspects in the archive
   */
  constructor(
    private readonly clock: clocks.Clock,
    private readonly archive: types.SuspectArchive,
    private readonly onLoaded: (reports: readonly types.SuspectReport[]) => void,
  ) {}

  /** Writes suspects, or replaces what was written of them. */
  save(reports: readonly types.SuspectReport[]): void {
    const savedAtWallMs = this.clock.wallTimeMs();
    this.enqueue(reports.map((report) => ({ suspect: report, saved: { report, savedAtWallMs } })));
  }

  /** Removes suspects. */
  remove(suspects: readonly types.Suspect[]): void {
    this.enqueue(suspects.map((suspect) => ({ suspect, saved: null })));
  }

  /** Loads the archive unless it was loaded before, then writes the pending changes. */
  async flush(): Promise<void> {
    if (this.isFlushing) return;
    this.isFlushing = true;
    if (!this.hasLoaded) await this.load();
    await this.writePending();
    this.isFlushing = false;
  }

  private enqueue(changes: readonly types.ArchiveChange[]): void {
    if (changes.length === 0) return;
    for (const change of changes) {
      const { kind, key } = change.suspect;
      this.pending.set(`${kind}:${key}`, change);
    }
    void this.flush();
  }

  private async writePending(): Promise<void> {
    while (this.pending.size > 0) {
      const changes = [...this.pending];
      const written = await this.archive.write(changes.map(([, change]) => change));
      if (written.isErr()) return;
      for (const [id, change] of changes) {
        if (this.pending.get(id) === change) this.pending.delete(id);
      }
    }
  }

  private async load(): Promise<void> {
    const loaded = await this.archive.load();
    if (loaded.isErr()) return;
    this.hasLoaded = true;
    const nowWallMs = this.clock.wallTimeMs();
    this.onLoaded(
      loaded.value.map(({ report, savedAtWallMs }) =>
        addAge(report, Math.max(0, nowWallMs - savedAtWallMs)),
      ),
    );
  }
}

function addAge(report: types.SuspectReport, ageMs: number): types.SuspectReport {
  const add = (knownMs: number | null): number | null =>
    knownMs === null ? null : knownMs + ageMs;
  return {
    ...report,
    clearedAgeMs: add(report.clearedAgeMs),
    trialAgeMs: add(report.trialAgeMs),
    ends: report.ends.map((end) => ({ ...end, ageMs: end.ageMs + ageMs })),
  };
}
