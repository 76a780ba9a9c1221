import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as platform from "../../../src/controlPlane/types.js";

/** Faults that can be injected into the log. */
export enum LogFault {
  /** Every append and read is refused. */
  Down = "down",
  /** Appends take effect, but their answers are lost. */
  LostAnswer = "lost-answer",
}

/** Options of a stand-in log; the latency applies to each operation, the retention to each record. */
export interface LogModelOptions {
  readonly latencyMs: number;
  readonly retentionMs: number;
  /** Appends above this rate are refused. */
  readonly maxAppendsPerSecond: number;
  /** Number of records that a read returns at most, unless its options set a limit. */
  readonly defaultMaxRecords: number;
}

/** Options for tests and the local demo. */
export const DEFAULT_LOG_OPTIONS: LogModelOptions = {
  latencyMs: 2,
  retentionMs: 3_600_000,
  maxAppendsPerSecond: 300,
  defaultMaxRecords: 1_000,
};

interface StreamState {
  firstOffset: number;
  readonly records: platform.LogRecord[];
  readonly waiters: Set<() => void>;
}

const MS_PER_SECOND = 1_000;

/** Simulates an append-only log with offsets, retention, outages and lost answers, on an injected clock. */
export class LogModel implements platform.LogService {
  /** Number of appends that the rate limit admitted; tests check it against budgets. */
  appendsCount = 0;
  /** Time in milliseconds added to the latency of every operation. */
  extraLatencyMs = 0;
  private readonly faults = new Set<LogFault>();
  private readonly streams = new Map<string, StreamState>();
  private recentAppendsMs: number[] = [];

  constructor(
    private readonly clock: clocks.Clock,
    private readonly options: LogModelOptions = DEFAULT_LOG_OPTIONS,
  ) {}

  /** Injects a fault. */
  inject(fault: LogFault): void {
    this.faults.add(fault);
  }

  /** Ends a fault. */
  heal(fault: LogFault): void {
    this.faults.delete(fault);
  }

  async append(
    stream: platform.LogStream,
    payloads: readonly unknown[],
  ): Promise<neverthrow.Result<number, stepError.StepError>> {
    await this.delay();
    if (this.faults.has(LogFault.Down))
      return neverthrow.err(createLogError("append", "log is down"));
    if (!this.tryTakeAppendSlot()) {
      return neverthrow.err(createLogError("append", "append rate exceeded", MS_PER_SECOND));
    }
    const offset = this.store(this.stateOf(stream), payloads);
    if (!this.faults.has(LogFault.LostAnswer)) return neverthrow.ok(offset);
    return neverthrow.err(
      new stepError.StepError("the answer to the append was lost", {
        code: stepError.ErrorCode.PlatformUnavailable,
        step: "log.append",
        peer: "log",
        execution: stepError.ExecutionState.Unknown,
      }),
    );
  }

  async read(
    stream: platform.LogStream,
    fromOffset: number,
    options: platform.LogReadOptions = {},
  ): Promise<neverthrow.Result<platform.LogBatch, stepError.StepError>> {
    await this.delay();
    const state = this.stateOf(stream);
    const endOffset = state.firstOffset + state.records.length;
    if (fromOffset >= endOffset && options.waitMs !== undefined) {
      await this.waitForRecord(state, options.waitMs, options.signal);
    }
    if (this.faults.has(LogFault.Down))
      return neverthrow.err(createLogError("read", "log is down"));
    this.dropExpired(state);
    const start = Math.max(0, fromOffset - state.firstOffset);
    const maxRecords = options.maxRecords ?? this.options.defaultMaxRecords;
    return neverthrow.ok({
      records: state.records.slice(start, start + maxRecords),
      firstOffset: state.firstOffset,
      endOffset: state.firstOffset + state.records.length,
    });
  }

  /** Returns the stored records of a stream without simulated latency or faults. */
  recordsOf(stream: platform.LogStream): readonly platform.LogRecord[] {
    return this.stateOf(stream).records;
  }

  /** Drops all records below an offset, as if their retention had ended. */
  truncateBefore(stream: platform.LogStream, offset: number): void {
    const state = this.stateOf(stream);
    const count = Math.min(state.records.length, Math.max(0, offset - state.firstOffset));
    state.records.splice(0, count);
    state.firstOffset += count;
  }

  private async delay(): Promise<void> {
    const latencyMs = this.options.latencyMs + this.extraLatencyMs;
    if (latencyMs > 0) await this.clock.sleep(latencyMs);
  }

  private tryTakeAppendSlot(): boolean {
    const nowMs = this.clock.nowMs();
    this.recentAppendsMs = this.recentAppendsMs.filter((atMs) => nowMs - atMs < MS_PER_SECOND);
    if (this.recentAppendsMs.length >= this.options.maxAppendsPerSecond) return false;
    this.recentAppendsMs.push(nowMs);
    this.appendsCount += 1;
    return true;
  }

  private store(state: StreamState, payloads: readonly unknown[]): number {
    const firstOffset = state.firstOffset + state.records.length;
    const appendedAtWallMs = this.clock.wallTimeMs();
    payloads.forEach((payload, index) => {
      state.records.push({ offset: firstOffset + index, appendedAtWallMs, payload });
    });
    for (const wake of state.waiters) wake();
    return firstOffset;
  }

  private waitForRecord(state: StreamState, waitMs: number, signal?: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      const timer = this.clock.schedule(waitMs, () => wake());
      const wake = (): void => {
        timer[Symbol.dispose]();
        state.waiters.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      state.waiters.add(wake);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  private dropExpired(state: StreamState): void {
    const oldestWallMs = this.clock.wallTimeMs() - this.options.retentionMs;
    while ((state.records[0]?.appendedAtWallMs ?? Infinity) < oldestWallMs) {
      state.records.shift();
      state.firstOffset += 1;
    }
  }

  private stateOf(stream: platform.LogStream): StreamState {
    const known = this.streams.get(stream);
    if (known !== undefined) return known;
    const created: StreamState = { firstOffset: 0, records: [], waiters: new Set() };
    this.streams.set(stream, created);
    return created;
  }
}

function createLogError(step: string, message: string, retryAfterMs?: number): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PlatformUnavailable,
    step: `log.${step}`,
    peer: "log",
    execution: stepError.ExecutionState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}
