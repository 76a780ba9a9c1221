import type * as backends from "../../../src/backends/types.js";
import type * as types from "../types.js";

/** One generation inside an engine. */
export interface EngineStream {
  readonly key: string;
  readonly request: backends.EngineRequest;
  readonly mark: string;
  readonly order: number;
  readonly promptTokens: number;
  readonly totalTokens: number;
  /** Tokens of the answer so far, the given prefix counted. */
  producedTokens: number;
  prefillTokensLeft: number;
  isPreempted: boolean;
  finishReason: backends.FinishReason | null;
  sink: types.StreamSink | null;
  /** Set on connections that a Silent fault has muted. */
  isMuted: boolean;
}

/** Tokens of memory that a stream takes. */
export function contextTokensOf(stream: EngineStream): number {
  return stream.promptTokens + stream.producedTokens;
}

/** The running batch and the queue of an engine with limited memory. */
export class Batch {
  readonly running = new Set<EngineStream>();
  readonly waiting = new Set<EngineStream>();
  usedTokens = 0;

  constructor(
    private readonly capacityTokens: number,
    private readonly maxRunningCount: number,
  ) {}

  /** Moves waiting streams into the batch, by priority and then age, while they fit. */
  admitWaiting(): readonly EngineStream[] {
    const admitted: EngineStream[] = [];
    const queue = [...this.waiting].sort(byUrgency);
    for (const stream of queue) {
      if (!this.hasRoomFor(stream)) break;
      this.waiting.delete(stream);
      this.running.add(stream);
      this.usedTokens += contextTokensOf(stream);
      stream.isPreempted = false;
      admitted.push(stream);
    }
    return admitted;
  }

  /** Counts one more token for a running stream. */
  grow(stream: EngineStream): void {
    stream.producedTokens += 1;
    this.usedTokens += 1;
  }

  /** Throws out the least urgent, latest running streams until memory suffices. */
  preemptUntilFits(): readonly EngineStream[] {
    const preempted: EngineStream[] = [];
    while (this.usedTokens > this.capacityTokens && this.running.size > 1) {
      const victim = [...this.running].sort(byUrgency).at(-1);
      if (victim === undefined) break;
      this.remove(victim);
      victim.isPreempted = true;
      victim.prefillTokensLeft = contextTokensOf(victim);
      this.waiting.add(victim);
      preempted.push(victim);
    }
    return preempted;
  }

  remove(stream: EngineStream): void {
    this.waiting.delete(stream);
    if (this.running.delete(stream)) this.usedTokens -= contextTokensOf(stream);
  }

  /** All streams as a load report lists them. */
  reportedRuns(): readonly backends.ReportedRun[] {
    return [...this.running, ...this.waiting].map((stream) => ({
      requestId: stream.request.requestId,
      attempt: stream.request.attempt,
      contextTokens: contextTokensOf(stream),
      isPreempted: stream.isPreempted,
    }));
  }

  clear(): void {
    this.running.clear();
    this.waiting.clear();
    this.usedTokens = 0;
  }

  private hasRoomFor(stream: EngineStream): boolean {
    if (this.running.size >= this.maxRunningCount) return false;
    const isOnlyOne = this.running.size === 0;
    return isOnlyOne || this.usedTokens + contextTokensOf(stream) < this.capacityTokens;
  }
}

function byUrgency(left: EngineStream, right: EngineStream): number {
  return left.request.priority - right.request.priority || left.order - right.order;
}
