import type * as platform from "../../../controlPlane/types.js";

/** Buffer of the newest consecutive records of a stream; holds up to twice its maximum count. */
export class RecentRecords {
  private records: platform.LogRecord[] = [];

  constructor(private readonly maxCount: number) {}

  /** Returns the lowest offset held; one past the applied offset if nothing is held. */
  lowestOffset(appliedOffset: number): number {
    return this.records[0]?.offset ?? appliedOffset + 1;
  }

  /** Adds a record; drops the earlier ones if it does not directly follow them. */
  add(record: platform.LogRecord): void {
    const last = this.records.at(-1);
    if (last !== undefined && record.offset !== last.offset + 1) this.records = [];
    this.records.push(record);
    if (this.records.length > 2 * this.maxCount) this.records = this.records.slice(-this.maxCount);
  }

  /** Drops all records, after a snapshot was applied. */
  clear(): void {
    this.records = [];
  }

  /** Returns records from an offset on; none if that offset is not held. */
  from(offset: number, maxCount: number): readonly platform.LogRecord[] {
    const first = this.records[0];
    if (first === undefined || offset < first.offset) return [];
    const start = offset - first.offset;
    return this.records.slice(start, start + maxCount);
  }
}
