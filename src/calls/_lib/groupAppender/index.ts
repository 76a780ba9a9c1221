import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as appendBudgets from "../../../controlPlane/appendBudget/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as replication from "../../../replication/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** What the appender works with. */
export interface AppenderDependencies {
  readonly clock: clocks.Clock;
  readonly metrics: telemetry.Metrics;
  readonly logService: platform.LogService;
  readonly appendBudget: appendBudgets.AppendBudget;
}

type AppendResult = neverthrow.Result<number, stepError.StepError>;

interface QueuedRecord {
  readonly record: types.CallRecord;
  readonly resolve: (result: AppendResult) => void;
}

/**
 * Puts the records of many calls into one append: while an append is on its way, or the budget
 * holds it back, what arrives is gathered for the next one. One task sends them.
 */
export class GroupAppender implements AsyncDisposable {
  private queue: QueuedRecord[] = [];
  private sending: Promise<void> | null = null;
  private readonly stopping = new AbortController();

  constructor(
    private readonly dependencies: AppenderDependencies,
    private readonly stream: platform.LogStream,
  ) {}

  get queuedCount(): number {
    return this.queue.length;
  }

  /**
   * Appends a record together with others.
   *
   * @returns its offset; an error with execution `unknown` means that it may be in the log
   */
  append(record: types.CallRecord): Promise<AppendResult> {
    if (this.queue.length >= constants.MAX_QUEUED_RECORDS || this.stopping.signal.aborted) {
      return Promise.resolve(neverthrow.err(refused("too many records wait for the log")));
    }
    const { promise, resolve } = replication.createDeferred<AppendResult>();
    this.queue.push({ record, resolve });
    this.sending ??= this.send();
    return promise;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    await this.sending;
  }

  private async send(): Promise<void> {
    const { appendBudget } = this.dependencies;
    while (this.queue.length > 0) {
      try {
        await appendBudget.take(appendBudgets.AppendPriority.Call, this.stopping.signal);
      } catch {
        this.refuseAll();
        break;
      }
      const group = this.queue.splice(0, constants.MAX_RECORDS_PER_APPEND);
      const appended = await this.appendGroup(group.map((queued) => queued.record));
      for (const [index, queued] of group.entries()) {
        queued.resolve(appended.map((firstOffset) => firstOffset + index));
      }
    }
    this.sending = null;
  }

  private async appendGroup(records: readonly types.CallRecord[]): Promise<AppendResult> {
    const { clock, metrics, logService, appendBudget } = this.dependencies;
    const place = { step: "log.append", peer: "log" };
    const work = logService.append(this.stream, records);
    const appended = await replication.limitTime(clock, constants.APPEND_TIMEOUT_MS, work, place);
    metrics.increment("calls.appends");
    metrics.increment("calls.appended_records", records.length);
    if (appended.isErr()) {
      metrics.increment("calls.append_failed", 1, { execution: appended.error.execution });
      appendBudget.onRefused(appended.error.retryAfterMs ?? 0);
    }
    return appended;
  }

  private refuseAll(): void {
    for (const queued of this.queue) queued.resolve(neverthrow.err(refused("shutting down")));
    this.queue = [];
  }
}

function refused(message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: "log.append",
    peer: "log",
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs: constants.LOG_OUTAGE_RETRY_AFTER_MS,
  });
}
