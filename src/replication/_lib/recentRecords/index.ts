import type * as platform from "../../../controlPlane/types.js";

/** The last consecutive records of a stream, up to a count. */
export class RecentRecords {
  private records: platform.LogRecord[] = [];

  constructor(private readonly maxCount: number) {}

  /** First offset held; one past the last where nothing is held. */
  lowestOffset(appliedOffset: number): number {
    return this.records[0]?.offset ?? appliedOffset + 1;
  }

  add(record: platform.LogRecord): void {
    const last = this.records.at(-1);
    if (last !== undefined && record.offset !== last.offset + 1) this.records = [];
    this.records.push(record);
    if (this.records.length > 2 * this.maxCount) this.records = this.records.slice(-this.maxCount);
  }

  /** Forgets everything, after a jump to a snapshot. */
  clear(): void {
    this.records = [];
  }

  /** Records from an offset on; empty where it is not held. */
  from(offset: number, maxCount: number): readonly platform.LogRecord[] {
    const first = this.records[0];
    if (first === undefined || offset < first.offset) return [];
    const start = offset - first.offset;
    return this.records.slice(start, start + maxCount);
  }
}
