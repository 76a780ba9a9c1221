import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as appendBudgets from "../../../controlPlane/appendBudget/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as replication from "../../../replication/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Dependencies of `GroupAppender`. */
export interface AppenderDependencies {
  readonly clock: clocks.Clock;
  readonly logger: loggers.Logger;
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
 * Appends the records of many calls to the log in groups. Records that arrive during an append,
 * or while the append budget delays the next one, are queued for the next append. At most one
 * append is in flight.
 */
export class GroupAppender implements AsyncDisposable {
  private queue: QueuedRecord[] = [];
  private drainTask: Promise<void> | null = null;
  private readonly stopping = new AbortController();

  constructor(
    private readonly dependencies: AppenderDependencies,
    private readonly stream: platform.LogStream,
  ) {}

  /** Number of records that wait to be appended. */
  get queuedCount(): number {
    return this.queue.length;
  }

  /**
   * Appends a record in a group with others.
   *
   * @returns its offset; after an error with execution `unknown` the record may be in the log
   */
  append(record: types.CallRecord): Promise<AppendResult> {
    if (this.queue.length >= constants.MAX_QUEUED_RECORDS || this.stopping.signal.aborted) {
      const bound = constants.MAX_QUEUED_RECORDS;
      const message = `append queue stopped or full: ${this.queue.length} of ${bound} records`;
      return Promise.resolve(neverthrow.err(createRefusal(message)));
    }
    const { promise, resolve } = replication.createDeferred<AppendResult>();
    this.queue.push({ record, resolve });
    this.drainTask ??= this.drainQueue();
    return promise;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    await this.drainTask;
  }

  private async drainQueue(): Promise<void> {
    const { appendBudget } = this.dependencies;
    while (this.queue.length > 0) {
      try {
        await appendBudget.take(appendBudgets.AppendPriority.Call, this.stopping.signal);
      } catch {
        this.refuseAll();
        break;
      }
      const group = this.queue.splice(0, constants.MAX_RECORDS_PER_APPEND);
      const appended = await this.appendGroup(group.map((queued) => queued.record)).catch(
        (error: unknown) => this.recordError(error),
      );
      for (const [index, queued] of group.entries()) {
        queued.resolve(appended.map((firstOffset) => firstOffset + index));
      }
    }
    this.drainTask = null;
  }

  private async appendGroup(records: readonly types.CallRecord[]): Promise<AppendResult> {
    const { clock, metrics, logService, appendBudget } = this.dependencies;
    const limitedStep = { step: "log.append", peer: "log" };
    const work = logService.append(this.stream, records);
    const appended = await replication.limitTime(
      clock,
      constants.APPEND_TIMEOUT_MS,
      work,
      limitedStep,
    );
    metrics.increment("calls.appends");
    metrics.increment("calls.appended_records", records.length);
    if (appended.isErr()) {
      metrics.increment("calls.append_failed", 1, { execution: appended.error.execution });
      appendBudget.onRefused(appended.error.retryAfterMs ?? 0);
    }
    return appended;
  }

  /** An error that is thrown must not end the task that drains the queue: no later record would be appended. */
  private recordError(error: unknown): AppendResult {
    this.dependencies.logger.error({ stream: this.stream, err: error }, "an append threw an error");
    return neverthrow.err(createFailure(error));
  }

  private refuseAll(): void {
    for (const queued of this.queue)
      queued.resolve(
        neverthrow.err(createRefusal("the appender was stopped before the record was appended")),
      );
    this.queue = [];
  }
}

function createFailure(cause: unknown): stepError.StepError {
  return new stepError.StepError("the append ended by an error", {
    code: stepError.ErrorCode.Internal,
    step: "log.append",
    peer: "log",
    execution: stepError.ExecutionState.Unknown,
    cause,
  });
}

function createRefusal(message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: "log.append",
    peer: "log",
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs: constants.LOG_OUTAGE_RETRY_AFTER_MS,
  });
}
