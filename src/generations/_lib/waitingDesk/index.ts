import * as engines from "../../../engines/index.js";
import * as fleet from "../../../fleet/index.js";
import * as constants from "../../constants.js";
import * as selectHomes from "../../selectHome/index.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import type * as views from "../views/index.js";

/** The work that waits at this VM, not bound to any engine, and what homes are told of it. */
export class WaitingDesk {
  private readonly queue = new engines.WaitingQueue({
    maxWaitingCount: Infinity,
    expectedTokensOf: (need) => need.maxTokens,
  });
  private toldHomes: readonly string[] = [];

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly views: views.EngineViews,
  ) {}

  enter(need: engines.GenerationNeed): void {
    this.queue.push(need);
  }

  leave(requestId: string): void {
    this.queue.remove(requestId);
  }

  /**
   * Takes the request whose turn it is for an engine that has room.
   *
   * @returns its id; null where nothing waits that fits
   */
  nextFor(engineName: string, freeTokens: number): string | null {
    const view = this.views.find(engineName);
    if (view === null) return null;
    const room: engines.EngineRoom = {
      loadedModels: view.loadedModels,
      accepts: (need) => need.promptTokens + need.producedTokens <= freeTokens,
    };
    return this.queue.nextFor(room, this.context.clock.nowMs())?.requestId ?? null;
  }

  /** Tells the homes that could run it what waits here, the most urgent of each model. */
  tell(): void {
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
    for (const vmName of new Set([...homes, ...this.toldHomes])) {
      this.context.link.notify(
        vmName,
        messages.Method.Waiting,
        homes.includes(vmName) ? items : [],
      );
    }
    this.toldHomes = homes;
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
    return ranked.slice(0, constants.MAX_TOLD_HOMES).map(({ name }) => name);
  }
}
