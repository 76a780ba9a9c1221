import * as appendBudgets from "../../../controlPlane/appendBudget/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as logReader from "../logReader/index.js";
import * as readerRoles from "../readerRoles/index.js";
import * as snapshotCodec from "../snapshotCodec/index.js";

/** Access to the follower's state. */
export interface SnapshotSource<State> {
  current(): State;
  isReady(): boolean;
}

/** Packs snapshots of one stream's state, and writes them to the log when they are due. */
export class SnapshotWriter<State> {
  /** Offset covered by the newest complete snapshot seen in the log; -1 for none. */
  coveredOffset = -1;
  /** Wall time since which records may lack a snapshot; null if no record is known. */
  private uncoveredSinceWallMs: number | null = null;
  private dueSinceMs: number | null = null;
  private isWriting = false;
  private readonly collector = new snapshotCodec.SnapshotCollector();
  private packed: Promise<readonly types.SnapshotPart[]> | null = null;
  private packedOffset = -1;

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly rules: types.StreamRules<State>,
    private readonly options: types.FollowerOptions,
    private readonly source: SnapshotSource<State>,
  ) {}

  /** Processes an applied record: collects snapshot parts, and starts the age of uncovered records. */
  observe(record: platform.LogRecord): void {
    this.uncoveredSinceWallMs ??= record.appendedAtWallMs;
    const part = snapshotCodec.parseSnapshotPart(record.payload);
    if (part === null) return;
    const parts = this.collector.add(part);
    if (parts === null || snapshotCodec.unpackParts(parts) === null) return;
    this.recordComplete(part.coveredOffset, record.appendedAtWallMs);
  }

  /** Records that the state was loaded from this snapshot in the log. */
  recordLoaded(found: logReader.FoundSnapshot): void {
    this.recordComplete(found.coveredOffset, found.appendedAtWallMs);
  }

  /** Records that the state was loaded from a peer, so the snapshots in the log are unknown. */
  recordLoadedFromPeer(): void {
    this.uncoveredSinceWallMs ??= this.dependencies.clock.wallTimeMs();
  }

  /**
   * Returns a snapshot of the current state, or a cached one that is recent enough for peers to
   * complete from the records in memory.
   */
  async packRecent(): Promise<readonly types.SnapshotPart[]> {
    const appliedOffset = this.rules.appliedOffsetOf(this.source.current());
    const isRecent = appliedOffset - this.packedOffset < constants.RECENT_RECORDS_COUNT / 2;
    if (this.packed !== null && isRecent) return this.packed;
    this.packedOffset = appliedOffset;
    this.packed = this.pack();
    return this.packed;
  }

  /** Writes a snapshot if one is due and the delay of this VM's rank has passed. */
  async writeIfDue(): Promise<void> {
    if (this.isWriting || !this.options.areSnapshotsWritten || !this.isDue()) return;
    this.isWriting = true;
    try {
      await this.write();
    } catch (error) {
      const { stream } = this.rules;
      this.dependencies.logger.error({ stream, err: error }, "writing a snapshot failed");
    } finally {
      this.isWriting = false;
      this.dueSinceMs = null;
    }
  }

  private isDue(): boolean {
    if (!this.source.isReady() || !this.hasUncoveredRecords()) {
      this.dueSinceMs = null;
      return false;
    }
    const { clock, fleetView } = this.dependencies;
    this.dueSinceMs ??= clock.nowMs();
    const rank = readerRoles.rankSnapshotWriter(
      fleetView,
      `${this.rules.stream}/${this.coveredOffset}`,
    );
    return clock.nowMs() - this.dueSinceMs >= rank * constants.SNAPSHOT_WRITER_STAGGER_MS;
  }

  private hasUncoveredRecords(): boolean {
    const appliedOffset = this.rules.appliedOffsetOf(this.source.current());
    if (appliedOffset < 0) return false;
    if (appliedOffset - this.coveredOffset >= this.options.snapshotEveryRecords) return true;
    const sinceWallMs = this.uncoveredSinceWallMs ?? Infinity;
    const ageMs = this.dependencies.clock.wallTimeMs() - sinceWallMs;
    return ageMs >= this.options.retentionMs * constants.SNAPSHOT_AGE_RETENTION_RATIO;
  }

  private async write(): Promise<void> {
    const { appendBudget, logger, logService, metrics } = this.dependencies;
    const { stream } = this.rules;
    const parts = await this.pack();
    for (let start = 0; start < parts.length; start += constants.PARTS_PER_APPEND) {
      const group = parts.slice(start, start + constants.PARTS_PER_APPEND);
      await appendBudget.take(appendBudgets.AppendPriority.Control);
      const appended = await logService.append(stream, group);
      if (appended.isOk()) continue;
      appendBudget.onRefused(appended.error.retryAfterMs ?? 0);
      metrics.increment("replication.snapshot_failed", 1, { stream });
      return;
    }
    metrics.increment("replication.snapshot_written", 1, { stream });
    const coveredOffset = parts[0]?.coveredOffset ?? -1;
    logger.info({ stream, coveredOffset, parts: parts.length }, "snapshot written");
  }

  /** Packs the current state; it is immutable, so records can be applied meanwhile. */
  private async pack(): Promise<readonly types.SnapshotPart[]> {
    const { clock, fleetView } = this.dependencies;
    const state = this.source.current();
    const coveredOffset = this.rules.appliedOffsetOf(state);
    const packedParts: string[] = [];
    for (const part of this.rules.encodeParts(state)) {
      packedParts.push(snapshotCodec.packPart(part));
      await clock.sleep(0);
    }
    const snapshotId = `${fleetView.self.name}/${coveredOffset}/${clock.wallTimeMs()}`;
    return snapshotCodec.assembleSnapshot(snapshotId, coveredOffset, packedParts);
  }

  private recordComplete(coveredOffset: number, appendedAtWallMs: number): void {
    if (coveredOffset <= this.coveredOffset) {
      this.dependencies.metrics.increment("replication.snapshot_ignored");
      return;
    }
    this.coveredOffset = coveredOffset;
    this.uncoveredSinceWallMs = appendedAtWallMs;
    this.collector.dropBelow(coveredOffset);
  }
}
