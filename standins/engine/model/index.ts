import * as neverthrow from "neverthrow";

import type * as backends from "../../../src/backends/types.js";
import * as backendTypes from "../../../src/backends/types.js";
import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import * as batches from "../batch/index.js";
import * as engineCounters from "../createCounters/index.js";
import * as orderExecutors from "../orderExecutor/index.js";
import * as prefixCaches from "../prefixCache/index.js";
import * as reportHistories from "../reportHistory/index.js";
import * as stepDurations from "../stepDuration/index.js";
import * as tokenTexts from "../tokenText/index.js";
import * as types from "../types.js";

/** Time for which a finished stream can still be resumed. */
const FINISHED_STREAM_RETENTION_MS = 60_000;

/** Delay of timers up to which the engine catches up; after longer ones, as in a pause, it does not. */
const MAX_TIMER_DELAY_MS = 1_000;

/** Simulates a model engine on an injected clock, without a wire format. */
export class EngineModel {
  readonly counters = engineCounters.createCounters();
  readonly cache: prefixCaches.PrefixCache;
  readonly orders: orderExecutors.OrderExecutor;
  readonly batch: batches.Batch;
  private readonly streams = new Map<string, batches.EngineStream>();
  private readonly faults = new Set<types.EngineFault>();
  private readonly reports: reportHistories.ReportHistory;
  private streamOrder = 0;
  private isStepping = false;
  private leavingAtMs: number | null = null;
  private lastStepMs = 0;

  constructor(
    private readonly options: types.EngineModelOptions,
    private readonly clock: clocks.Clock,
    random: randoms.RandomSource,
  ) {
    this.batch = new batches.Batch(options.capacityTokens, options.maxRunningCount);
    this.cache = new prefixCaches.PrefixCache(options, clock, random);
    this.orders = new orderExecutors.OrderExecutor(options, clock);
    this.reports = new reportHistories.ReportHistory(options.loadReportLagMs, clock);
    this.lastStepMs = options.stepBaseMs;
  }

  /** Starts a run after the request's prefix; fails if the engine is dead or the model is not loaded. */
  start(
    request: backends.EngineRequest,
    sink: types.StreamSink,
  ): neverthrow.Result<void, stepError.StepError> {
    if (this.isDead()) return neverthrow.err(this.error("engine.start", "connection refused"));
    if (!this.orders.hasModel(request.model, request.version, request.adapter)) {
      const message = `model ${request.model} ${request.version} is not loaded`;
      return neverthrow.err(this.error("engine.start", message));
    }
    const stream = this.createStream(request, sink);
    this.streams.set(stream.key, stream);
    this.batch.waiting.add(stream);
    this.counters.startedCount += 1;
    this.scheduleStep();
    return neverthrow.ok();
  }

  /** Resumes a stream on a new connection, which replaces its older one; fails if the stream is unknown. */
  resume(
    requestId: string,
    attempt: number,
    fromOffset: number,
    sink: types.StreamSink,
  ): neverthrow.Result<void, stepError.StepError> {
    if (this.isDead()) return neverthrow.err(this.error("engine.resume", "connection refused"));
    const stream = this.streams.get(streamKey(requestId, attempt));
    if (stream === undefined) {
      return neverthrow.err(this.error("engine.resume", `no stream for request ${requestId}`));
    }
    stream.sink = sink;
    stream.isMuted = false;
    if (fromOffset < stream.producedTokens || stream.finishReason !== null) {
      this.emit(stream, fromOffset);
    }
    return neverthrow.ok();
  }

  /** Cancels a stream; does nothing if it is unknown or has finished. */
  cancel(requestId: string, attempt: number): void {
    const stream = this.streams.get(streamKey(requestId, attempt));
    if (stream?.finishReason !== null) return;
    this.cachePrefix(stream);
    this.finish(stream, backendTypes.FinishReason.Cancelled, stream.producedTokens);
    this.counters.cancelledCount += 1;
  }

  /** Returns the newest report that is at least as old as the lag, or else the oldest one. */
  loadReport(): backends.EngineLoadReport {
    this.reports.recordIfDue(() => this.createReport());
    const newest = this.reports.findVisible();
    if (newest === undefined) throw new Error(`engine ${this.options.name} has no load report`);
    return { ...newest, leavingInMs: this.leavingInMs() };
  }

  inject(fault: types.EngineFault): void {
    this.faults.add(fault);
    if (fault === types.EngineFault.Dead) this.breakAllStreams("engine died");
    if (fault !== types.EngineFault.Silent) return;
    for (const stream of this.streams.values()) stream.isMuted = true;
  }

  heal(fault: types.EngineFault): void {
    this.faults.delete(fault);
    this.scheduleStep();
  }

  /** Announces the engine's shutdown; the engine dies after `noticeMs`. */
  reclaim(noticeMs: number): void {
    this.leavingAtMs = this.clock.nowMs() + noticeMs;
    this.clock.schedule(noticeMs, () => this.inject(types.EngineFault.Dead));
  }

  isDead(): boolean {
    return this.faults.has(types.EngineFault.Dead);
  }

  /** Creates a waiting stream; cached tokens need no prefill, but at least one token is prefilled. */
  private createStream(
    request: backends.EngineRequest,
    sink: types.StreamSink,
  ): batches.EngineStream {
    const promptTokens = this.options.promptTokensOf(request);
    const prefixLength = request.prefixTokens.length;
    const contextTokens = promptTokens + prefixLength;
    const hitTokens = this.cache.lookup(this.hashPrefixes(request, prefixLength));
    return {
      key: streamKey(request.requestId, request.attempt),
      request,
      samplingMark: tokenTexts.computeSamplingMark(request),
      order: this.streamOrder++,
      promptTokens,
      totalTokens: Math.min(request.maxTokens, this.options.lengthOf(request)),
      producedTokens: prefixLength,
      prefillTokensLeft: Math.max(1, contextTokens - hitTokens),
      isPreempted: false,
      finishReason: null,
      sink,
      isMuted: false,
    };
  }

  /** Schedules the next step, unless one is in progress or no stream can run. */
  private scheduleStep(startsAtMs = this.clock.nowMs()): void {
    if (this.isStepping || this.isHalted()) return;
    this.batch.admitWaiting();
    if (this.batch.running.size === 0) return;
    this.isStepping = true;
    const prefilled = this.prefill();
    const decoding = [...this.batch.running].filter(
      (stream) => stream.prefillTokensLeft === 0 && !prefilled.streams.has(stream),
    );
    const durationMs = stepDurations.computeStepDurationMs(this.options, {
      decodingCount: decoding.length,
      contextTokens: this.batch.usedTokens,
      prefillTokens: prefilled.tokens,
    });
    this.lastStepMs = durationMs;
    const endsAtMs = startsAtMs + durationMs;
    this.clock.schedule(Math.max(0, endsAtMs - this.clock.nowMs()), () => {
      this.isStepping = false;
      this.completeStep(decoding);
      // Starts at the time at which this step was due, so that late timers do not add up.
      this.scheduleStep(Math.max(endsAtMs, this.clock.nowMs() - MAX_TIMER_DELAY_MS));
    });
  }

  /** Prefills running streams in order, up to the step's token limit. */
  private prefill(): { tokens: number; streams: ReadonlySet<batches.EngineStream> } {
    const streams = new Set<batches.EngineStream>();
    let tokens = 0;
    for (const stream of this.batch.running) {
      const budgetTokens = this.options.maxPrefillTokensPerStep - tokens;
      if (budgetTokens <= 0) break;
      if (stream.prefillTokensLeft === 0) continue;
      const chunkTokens = Math.min(budgetTokens, stream.prefillTokensLeft);
      stream.prefillTokensLeft -= chunkTokens;
      tokens += chunkTokens;
      streams.add(stream);
    }
    return { tokens, streams };
  }

  private completeStep(decoding: readonly batches.EngineStream[]): void {
    if (this.isHalted()) return;
    for (const stream of decoding) this.decode(stream);
    for (const victim of this.batch.preemptUntilFits()) {
      this.counters.preemptionsCount += 1;
      this.counters.tokensRecomputedCount += victim.prefillTokensLeft;
    }
    this.cache.shrinkTo(Math.max(0, this.options.capacityTokens - this.batch.usedTokens));
    this.reports.recordIfDue(() => this.createReport());
  }

  private decode(stream: batches.EngineStream): void {
    if (!this.batch.running.has(stream)) return;
    const fromOffset = stream.producedTokens;
    if (fromOffset < stream.totalTokens) {
      this.batch.addToken(stream);
      this.counters.tokensProducedCount += 1;
    }
    if (stream.producedTokens < stream.totalTokens) {
      this.emit(stream, fromOffset);
      return;
    }
    this.cache.store(this.hashPrefixes(stream.request, 0));
    const isAtLimit = stream.totalTokens === stream.request.maxTokens;
    const reason = isAtLimit ? backendTypes.FinishReason.Length : backendTypes.FinishReason.Stop;
    this.finish(stream, reason, fromOffset);
    this.counters.finishedCount += 1;
  }

  private finish(
    stream: batches.EngineStream,
    reason: backends.FinishReason,
    fromOffset: number,
  ): void {
    this.batch.remove(stream);
    stream.finishReason = reason;
    this.emit(stream, fromOffset);
    this.clock.schedule(FINISHED_STREAM_RETENTION_MS, () => this.streams.delete(stream.key));
  }

  private emit(stream: batches.EngineStream, fromOffset: number): void {
    if (stream.sink === null || stream.isMuted) return;
    const tokens: string[] = [];
    for (let offset = fromOffset; offset < stream.producedTokens; offset += 1) {
      tokens.push(tokenTexts.formatToken(stream.samplingMark, offset));
    }
    stream.sink.onFrame({ offset: fromOffset, tokens, finishReason: stream.finishReason });
  }

  private cachePrefix(stream: batches.EngineStream): void {
    this.cache.store(this.hashPrefixes(stream.request, stream.producedTokens));
  }

  private hashPrefixes(request: backends.EngineRequest, producedTokens: number): readonly string[] {
    const words = request.prompt.split(" ");
    const mark = producedTokens > 0 ? tokenTexts.computeSamplingMark(request) : "";
    for (let offset = 0; offset < producedTokens; offset += 1) {
      words.push(tokenTexts.formatToken(mark, offset));
    }
    return prefixCaches.hashPrefixes(words, this.options.cacheBlockTokens);
  }

  private createReport(): backends.EngineLoadReport {
    return {
      takenAtMs: this.clock.nowMs(),
      runningCount: this.batch.running.size,
      waitingCount: this.batch.waiting.size,
      usedTokens: this.batch.usedTokens,
      capacityTokens: this.options.capacityTokens,
      stepTimeMs: this.lastStepMs,
      preemptionsCount: this.counters.preemptionsCount,
      loadedModels: this.orders.loadedModels,
      running: this.batch.listReportedRuns(),
      leavingInMs: null,
    };
  }

  private breakAllStreams(reason: string): void {
    const broken = [...this.streams.values()];
    this.streams.clear();
    this.batch.clear();
    this.cache.clear();
    for (const stream of broken) stream.sink?.onBroken(reason);
  }

  private leavingInMs(): number | null {
    return this.leavingAtMs === null ? null : Math.max(0, this.leavingAtMs - this.clock.nowMs());
  }

  private isHalted(): boolean {
    return this.isDead() || this.faults.has(types.EngineFault.Stalled);
  }

  private error(step: string, message: string): stepError.StepError {
    return new stepError.StepError(message, {
      code: stepError.ErrorCode.NoBackend,
      step,
      peer: this.options.name,
      execution: stepError.ExecutionState.NotRun,
    });
  }
}

function streamKey(requestId: string, attempt: number): string {
  return `${requestId}/${attempt}`;
}
