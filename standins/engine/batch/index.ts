import type * as backends from "../../../src/backends/types.js";
import type * as types from "../types.js";

/** One run inside a stand-in engine. */
export interface EngineStream {
  readonly key: string;
  readonly request: backends.EngineRequest;
  readonly samplingMark: string;
  /** Position in order of arrival. */
  readonly order: number;
  readonly promptTokens: number;
  readonly totalTokens: number;
  /** Output tokens so far, including the prefix given with the request. */
  producedTokens: number;
  prefillTokensLeft: number;
  isPreempted: boolean;
  finishReason: backends.FinishReason | null;
  sink: types.StreamSink | null;
  /** Whether a Silent fault has muted the stream's connection. */
  isMuted: boolean;
}

/** Counts the tokens of memory that a stream occupies. */
export function countContextTokens(stream: EngineStream): number {
  return stream.promptTokens + stream.producedTokens;
}

/** The running batch and the waiting queue of an engine with limited memory. */
export class Batch {
  readonly running = new Set<EngineStream>();
  readonly waiting = new Set<EngineStream>();
  usedTokens = 0;

  constructor(
    private readonly capacityTokens: number,
    private readonly maxRunningCount: number,
  ) {}

  /** Admits waiting streams by priority, then age, up to the limits; an empty batch admits one of any size. */
  admitWaiting(): readonly EngineStream[] {
    const admitted: EngineStream[] = [];
    const queue = [...this.waiting].sort(comparePriority);
    for (const stream of queue) {
      if (!this.hasCapacityFor(stream)) break;
      this.waiting.delete(stream);
      this.running.add(stream);
      this.usedTokens += countContextTokens(stream);
      stream.isPreempted = false;
      admitted.push(stream);
    }
    return admitted;
  }

  /** Adds one output token to a running stream. */
  addToken(stream: EngineStream): void {
    stream.producedTokens += 1;
    this.usedTokens += 1;
  }

  /** Preempts running streams, least urgent and then newest first, until the others fit or only one runs. */
  preemptUntilFits(): readonly EngineStream[] {
    const preempted: EngineStream[] = [];
    while (this.usedTokens > this.capacityTokens && this.running.size > 1) {
      const victim = [...this.running].sort(comparePriority).at(-1);
      if (victim === undefined) break;
      this.remove(victim);
      victim.isPreempted = true;
      victim.prefillTokensLeft = countContextTokens(victim);
      this.waiting.add(victim);
      preempted.push(victim);
    }
    return preempted;
  }

  /** Removes a stream from the batch or the queue. */
  remove(stream: EngineStream): void {
    this.waiting.delete(stream);
    if (this.running.delete(stream)) this.usedTokens -= countContextTokens(stream);
  }

  /** Lists all streams in the form of a load report. */
  listReportedRuns(): readonly backends.ReportedRun[] {
    return [...this.running, ...this.waiting].map((stream) => ({
      requestId: stream.request.requestId,
      attempt: stream.request.attempt,
      contextTokens: countContextTokens(stream),
      isPreempted: stream.isPreempted,
    }));
  }

  /** Removes all streams. */
  clear(): void {
    this.running.clear();
    this.waiting.clear();
    this.usedTokens = 0;
  }

  private hasCapacityFor(stream: EngineStream): boolean {
    if (this.running.size >= this.maxRunningCount) return false;
    const isOnlyOne = this.running.size === 0;
    return isOnlyOne || this.usedTokens + countContextTokens(stream) < this.capacityTokens;
  }
}

function comparePriority(left: EngineStream, right: EngineStream): number {
  return left.request.priority - right.request.priority || left.order - right.order;
}
