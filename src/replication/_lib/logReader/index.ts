import * as neverthrow from "neverthrow";

import type * as stepError from "../../../_lib/stepError/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as snapshotCodec from "../snapshotCodec/index.js";
import * as limitTime from "../../limitTime/index.js";

/** A complete snapshot read from the log. */
export interface FoundSnapshot {
  readonly coveredOffset: number;
  readonly appendedAtWallMs: number;
  readonly parts: readonly unknown[];
}

/** Reads one stream of the log; a read that exceeds its timeout fails. */
export class LogReader {
  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly stream: platform.LogStream,
    private readonly signal: AbortSignal,
  ) {}

  /**
   * Reads records from an offset on.
   *
   * @param waitMs - long-poll wait for a record; 0 returns at once
   * @param maxRecords - maximum number of records to return
   */
  async read(
    fromOffset: number,
    waitMs = 0,
    maxRecords = constants.RECORDS_PER_READ,
  ): Promise<neverthrow.Result<platform.LogBatch, stepError.StepError>> {
    const { clock, logService } = this.dependencies;
    const options = { maxRecords, signal: this.signal, ...(waitMs > 0 ? { waitMs } : {}) };
    const work = logService.read(this.stream, fromOffset, options);
    const limitedStep = { step: "log.read", peer: "log" };
    return limitTime.limitTime(
      clock,
      waitMs + constants.READ_TIMEOUT_MARGIN_MS,
      work,
      limitedStep,
      this.signal,
    );
  }

  /** Reads the first retained offset and the end offset of the log. */
  async readBounds(): Promise<neverthrow.Result<platform.LogBatch, stepError.StepError>> {
    return this.read(0, 0, 1);
  }

  /**
   * Finds the newest usable snapshot, searching backwards from the log's end. A snapshot is usable if
   * the log retains all records after it.
   *
   * @param bounds - a read that states the log's retained range
   * @param aboveOffset - the snapshot has to cover a higher offset than this
   * @returns the snapshot, null if there is none, or the error of a failed read
   */
  async findSnapshot(
    bounds: platform.LogBatch,
    aboveOffset: number,
  ): Promise<neverthrow.Result<FoundSnapshot | null, stepError.StepError>> {
    const collector = new snapshotCodec.SnapshotCollector();
    const lowest = Math.max(bounds.firstOffset, aboveOffset + 1);
    for (let end = bounds.endOffset; end > lowest; end -= constants.RECORDS_PER_READ) {
      const start = Math.max(lowest, end - constants.RECORDS_PER_READ);
      const read = await this.readRange(start, end);
      if (read.isErr()) return neverthrow.err(read.error);
      for (const record of read.value.toReversed()) {
        const found = collectSnapshot(collector, record);
        if (found === null || found.coveredOffset <= aboveOffset) continue;
        if (found.coveredOffset + 1 >= bounds.firstOffset) return neverthrow.ok(found);
      }
    }
    return neverthrow.ok(null);
  }

  private async readRange(
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

/** Adds a record to the collector; returns the snapshot if this completes a valid one. */
function collectSnapshot(
  collector: snapshotCodec.SnapshotCollector,
  record: platform.LogRecord,
): FoundSnapshot | null {
  const part = snapshotCodec.parseSnapshotPart(record.payload);
  if (part === null) return null;
  const completeParts = collector.add(part);
  const parts = completeParts === null ? null : snapshotCodec.unpackParts(completeParts);
  if (parts === null) return null;
  const { coveredOffset } = part;
  return { coveredOffset, appendedAtWallMs: record.appendedAtWallMs, parts };
}
