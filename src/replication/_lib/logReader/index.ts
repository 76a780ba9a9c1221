import * as neverthrow from "neverthrow";

import type * as stepError from "../../../_lib/stepError/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as snapshotCodec from "../snapshotCodec/index.js";
import * as timeLimit from "../../limitTime/index.js";

/** A snapshot as it was found in the log. */
export interface FoundSnapshot {
  readonly coveredOffset: number;
  readonly appendedAtWallMs: number;
  readonly parts: readonly unknown[];
}

/** Reads one stream of the log; a read that stays silent counts as failed. */
export class LogReader {
  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly stream: platform.LogStream,
    private readonly signal: AbortSignal,
  ) {}

  async read(
    fromOffset: number,
    waitMs = 0,
    maxRecords = constants.RECORDS_PER_READ,
  ): Promise<neverthrow.Result<platform.LogBatch, stepError.StepError>> {
    const { clock, logService } = this.dependencies;
    const options = { maxRecords, signal: this.signal, ...(waitMs > 0 ? { waitMs } : {}) };
    const work = logService.read(this.stream, fromOffset, options);
    const place = { step: "log.read", peer: "log" };
    return timeLimit.limitTime(clock, waitMs + constants.READ_GRACE_MS, work, place, this.signal);
  }

  /** Where the log's retained records begin and end. */
  async probe(): Promise<neverthrow.Result<platform.LogBatch, stepError.StepError>> {
    return this.read(0, 0, 1);
  }

  /**
   * The newest usable snapshot, searched from the log's end backwards.
   *
   * @param bounds - the log's retained range
   * @param aboveOffset - only a snapshot that covers more than this is of use
   */
  async findSnapshot(
    bounds: platform.LogBatch,
    aboveOffset: number,
  ): Promise<neverthrow.Result<FoundSnapshot | null, stepError.StepError>> {
    const collector = new snapshotCodec.SnapshotCollector();
    const lowest = Math.max(bounds.firstOffset, aboveOffset + 1);
    for (let end = bounds.endOffset; end > lowest; end -= constants.RECORDS_PER_READ) {
      const start = Math.max(lowest, end - constants.RECORDS_PER_READ);
      const read = await this.readWindow(start, end);
      if (read.isErr()) return neverthrow.err(read.error);
      for (const record of read.value.toReversed()) {
        const found = completeSnapshot(collector, record);
        if (found === null || found.coveredOffset <= aboveOffset) continue;
        if (found.coveredOffset + 1 >= bounds.firstOffset) return neverthrow.ok(found);
      }
    }
    return neverthrow.ok(null);
  }

  private async readWindow(
    start: number,
    end: number,
  ): Promise<neverthrow.Result<platform.LogRecord[], stepError.StepError>> {
    const records: platform.LogRecord[] = [];
    for (let next = start; next < end;) {
      const read = await this.read(next, 0, end - next);
      if (read.isErr()) return neverthrow.err(read.error);
      records.push(...read.value.records);
      const last = read.value.records.at(-1);
      if (last === undefined) break;
      next = last.offset + 1;
    }
    return neverthrow.ok(records);
  }
}

function completeSnapshot(
  collector: snapshotCodec.SnapshotCollector,
  record: platform.LogRecord,
): FoundSnapshot | null {
  const part = snapshotCodec.parseSnapshotPart(record.payload);
  if (part === null) return null;
  const complete = collector.add(part);
  const parts = complete === null ? null : snapshotCodec.unpackParts(complete);
  if (parts === null) return null;
  const { coveredOffset } = part;
  return { coveredOffset, appendedAtWallMs: record.appendedAtWallMs, parts };
}
