import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as stepError from "../../../_lib/stepError/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as appendBudget from "../../../controlPlane/appendBudget/index.js";
import * as partialReads from "../../../controlPlane/createPartialReadError/index.js";
import * as platform from "../../../controlPlane/types.js";
import * as leaseRecords from "../leaseRecords/index.js";
import * as leaseTable from "../leaseTable/index.js";

/** Reads the log's lease stream into a table, and appends to it within the append budget. */
export class LeaseLog {
  readonly table = new leaseTable.LeaseTable();
  /** Ids of appended records that have not been read back yet. */
  private readonly awaitedIds = new Set<string>();
  /** Ids of appended records that were read back and took effect. */
  private readonly effectiveIds = new Set<string>();
  private nextOffset = 0;

  constructor(
    private readonly log: platform.LogService,
    private readonly budget: appendBudget.AppendBudget,
    private readonly clock: clocks.Clock,
    private readonly metrics: telemetry.Metrics,
  ) {}

  /** Reads all records up to the end of the stream; calls may overlap. */
  async catchUp(): Promise<neverthrow.Result<void, stepError.StepError>> {
    for (;;) {
      const fromOffset = this.nextOffset;
      const batch = await this.log.read(platform.LogStream.Leases, fromOffset);
      if (batch.isErr()) return neverthrow.err(batch.error);
      // Leases whose records are no longer retained have expired.
      this.nextOffset = Math.max(this.nextOffset, batch.value.firstOffset);
      for (const record of batch.value.records) this.apply(record);
      if (this.nextOffset >= batch.value.endOffset) return neverthrow.ok();
      if (this.nextOffset === fromOffset)
        return neverthrow.err(partialReads.createPartialReadError(fromOffset, batch.value));
    }
  }

  /** Whether an appended record has been read and took effect; returns true once per record. */
  consumeEffect(recordId: string): boolean {
    return this.effectiveIds.delete(recordId);
  }

  /**
   * Appends a record. After an error, only reading the stream shows whether it took effect.
   *
   * @returns the record's offset
   * @throws the signal's reason if aborted while waiting for the append budget
   */
  async append(
    record: leaseRecords.LeaseRecord,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<number, stepError.StepError>> {
    await this.budget.take(appendBudget.AppendPriority.Control, signal);
    this.metrics.increment("fleet.lease_appends");
    this.awaitedIds.add(record.recordId);
    const appended = await this.log.append(platform.LogStream.Leases, [record]);
    if (appended.isErr() && appended.error.retryAfterMs !== undefined) {
      this.budget.onRefused(appended.error.retryAfterMs);
    }
    return appended;
  }

  private apply(record: platform.LogRecord): void {
    if (record.offset < this.nextOffset) return;
    this.nextOffset = record.offset + 1;
    const lease = leaseRecords.parseLeaseRecord(record.payload);
    if (lease === undefined) {
      this.metrics.increment("fleet.lease_records_skipped");
      return;
    }
    const isEffective = this.table.apply(lease, record.offset, this.clock.nowMs());
    const isAwaited = this.awaitedIds.delete(lease.recordId);
    if (isEffective && isAwaited) this.effectiveIds.add(lease.recordId);
  }
}
