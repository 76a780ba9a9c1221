import type * as randoms from "../../src/_lib/random/index.js";
import * as engines from "../../src/engines/index.js";
import type * as policies from "../policies/index.js";

/** Most requests that wait at one VM. */
const MAX_WAITING_COUNT = 100_000;

interface SeenEngine {
  view: engines.EngineView;
  sentTokens: number;
  sentCount: number;
}

/** A VM as it receives requests: its views of the engines, its waiting work, what it learned. */
export class EntryVm {
  readonly learner = new engines.LengthLearner();
  readonly queue = new engines.WaitingQueue({
    maxWaitingCount: MAX_WAITING_COUNT,
    expectedTokensOf: (need) => this.expectedTokensOf(need),
  });
  private readonly seen = new Map<string, SeenEngine>();

  constructor(
    readonly index: number,
    readonly dataCentre: string,
    private readonly policy: policies.Policy,
    private readonly random: randoms.RandomSource,
  ) {}

  /** Takes a newer view; what was sent before it is in it. */
  see(view: engines.EngineView): void {
    this.seen.set(view.name, { view, sentTokens: 0, sentCount: 0 });
  }

  forget(engineName: string): void {
    this.seen.delete(engineName);
  }

  choose(need: engines.GenerationNeed): engines.EngineChoice | null {
    const views = [...this.seen.values()].map((item) => ({
      ...item.view,
      sentSinceTokens: item.sentTokens,
      sentSinceCount: item.sentCount,
    }));
    const choice = this.policy.chooseEngine(need, views, {
      dataCentre: this.dataCentre,
      random: this.random,
    });
    if (choice !== null) this.countSent(choice.engineName, need);
    return choice;
  }

  /** Whether work at least as urgent waits here for the same model. */
  hasWaitingBefore(need: engines.GenerationNeed, nowMs: number): boolean {
    const ownRank = engines.priorityOf(need.class);
    return this.queue
      .summary(nowMs)
      .some((item) => item.model === need.model && item.rank <= ownRank);
  }

  private countSent(engineName: string, need: engines.GenerationNeed): void {
    const item = this.seen.get(engineName);
    if (item === undefined) return;
    item.sentCount += 1;
    item.sentTokens += need.promptTokens + need.producedTokens + this.expectedTokensOf(need);
  }

  private expectedTokensOf(need: engines.GenerationNeed): number {
    const lengths = this.learner.distributionFor(need);
    return lengths.residual(need.producedTokens, need.maxTokens).meanTokens;
  }
}
