import * as engines from "../../../engines/index.js";
import * as fleet from "../../../fleet/index.js";
import * as constants from "../../constants.js";
import * as selectHomes from "../../selectHome/index.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import type * as views from "../engineViews/index.js";

/** Queues the requests that wait for capacity at this VM, and reports them to homes. */
export class WaitingHandlers {
  private readonly queue = new engines.WaitingQueue({
    maxWaitingCount: Infinity,
    expectedTokensOf: (need) => need.maxTokens,
  });
  private notifiedHomes: readonly string[] = [];

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly views: views.EngineViews,
  ) {}

  /** Adds a request to the queue. */
  enqueue(need: engines.GenerationNeed): void {
    this.queue.push(need);
  }

  /** Removes a request from the queue. */
  remove(requestId: string): void {
    this.queue.remove(requestId);
  }

  /**
   * Removes the most urgent waiting request that fits an engine's free memory from the queue.
   *
   * @returns its id; null if none fits
   */
  dequeueNextFor(engineName: string, freeTokens: number): string | null {
    const view = this.views.find(engineName);
    if (view === null) return null;
    const capacity: engines.EngineCapacity = {
      loadedModels: view.loadedModels,
      accepts: (need) => need.promptTokens + need.producedTokens <= freeTokens,
    };
    return this.queue.nextFor(capacity, this.context.clock.nowMs())?.requestId ?? null;
  }

  /** Reports the most urgent waiting request of each model to the homes that could run it. */
  reportWaiting(): void {
    const nowMs = this.context.clock.nowMs();
    const items = this.queue.summary(nowMs).map((summary) => ({
      model: summary.model,
      version: summary.version,
      adapter: summary.adapter,
      requestId: summary.requestId,
      rank: summary.rank,
      deadlineInMs: Math.round(summary.deadlineAtMs - nowMs),
    }));
    const homes = items.length === 0 ? [] : this.selectHomesFor(items);
    for (const vmName of new Set([...homes, ...this.notifiedHomes])) {
      this.context.link.notify(
        vmName,
        messages.Method.Waiting,
        homes.includes(vmName) ? items : [],
      );
    }
    this.notifiedHomes = homes;
  }

  private selectHomesFor(items: readonly messages.WaitingItem[]): readonly string[] {
    const members = this.context.fleet.members();
    const homes = new Set<string>();
    for (const view of this.views.list()) {
      if (!items.some((item) => engines.hasModelLoaded(view.loadedModels, item))) continue;
      const home = selectHomes.selectHome(view, members);
      if (home !== null) homes.add(home);
    }
    const named = [...homes].map((name) => ({ name }));
    const ranked = fleet.rankByRendezvous(this.context.link.selfName, named);
    return ranked.slice(0, constants.MAX_NOTIFIED_HOMES_COUNT).map(({ name }) => name);
  }
}
