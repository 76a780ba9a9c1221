import type * as randoms from "../../src/_lib/random/index.js";
import * as engines from "../../src/engines/index.js";
import type * as policies from "../policies/index.js";

/** Maximum number of requests that wait at one VM. */
const MAX_WAITING_COUNT = 100_000;

interface TrackedEngine {
  view: engines.EngineView;
  sentTokens: number;
  sentCount: number;
}

/**
 * A VM that accepts requests, with its engine views, its waiting queue and its learned output
 * lengths.
 */
export class EntryVm {
  readonly learner = new engines.LengthLearner();
  readonly queue = new engines.WaitingQueue({
    maxWaitingCount: MAX_WAITING_COUNT,
    expectedTokensOf: (need) => this.estimateRemainingOutput(need),
  });
  private readonly trackedEngines = new Map<string, TrackedEngine>();

  constructor(
    readonly index: number,
    readonly dataCentre: string,
    private readonly policy: policies.Policy,
    private readonly random: randoms.RandomSource,
  ) {}

  /** Replaces an engine's view and resets its count of sent work, which the new view includes. */
  updateView(view: engines.EngineView): void {
    this.trackedEngines.set(view.name, { view, sentTokens: 0, sentCount: 0 });
  }

  /** Removes an engine from the candidates. */
  removeEngine(engineName: string): void {
    this.trackedEngines.delete(engineName);
  }

  /**
   * Selects an engine by the policy and counts the request as sent to it; null if none is usable.
   */
  selectEngine(need: engines.GenerationNeed): engines.EngineChoice | null {
    const views = [...this.trackedEngines.values()].map((item) => ({
      ...item.view,
      sentSinceTokens: item.sentTokens,
      sentSinceCount: item.sentCount,
    }));
    const choice = this.policy.selectEngine(need, views, {
      dataCentre: this.dataCentre,
      random: this.random,
    });
    if (choice !== null) this.recordSent(choice.engineName, need);
    return choice;
  }

  /** Returns whether work of equal or higher urgency already waits here for the same model. */
  hasPrecedingWork(need: engines.GenerationNeed, nowMs: number): boolean {
    const ownRank = engines.priorityOf(need.class);
    return this.queue
      .summary(nowMs)
      .some((item) => item.model === need.model && item.rank <= ownRank);
  }

  private recordSent(engineName: string, need: engines.GenerationNeed): void {
    const item = this.trackedEngines.get(engineName);
    if (item === undefined) return;
    item.sentCount += 1;
    item.sentTokens += need.promptTokens + need.producedTokens + this.estimateRemainingOutput(need);
  }

  private estimateRemainingOutput(need: engines.GenerationNeed): number {
    const lengths = this.learner.distributionFor(need);
    return lengths.residual(need.producedTokens, need.maxTokens).meanTokens;
  }
}
