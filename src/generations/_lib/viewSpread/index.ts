import * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as recipients from "../viewRecipients/index.js";
import * as toldViews from "../toldViews/index.js";
import type * as summaries from "../viewSummary/index.js";

/** Tells other VMs about this home's engines: what changed, and everything now and then. */
export class ViewSpread {
  private readonly near = new toldViews.ToldViews();
  private readonly relays = new toldViews.ToldViews();
  private readonly foreign = new toldViews.ToldViews();
  private toldNearAtMs = -Infinity;
  private toldRelaysAtMs = -Infinity;

  constructor(private readonly context: contexts.GenerationContext) {}

  /** Sends what is due. */
  spread(own: readonly engines.EngineView[], heard: readonly engines.EngineView[]): void {
    const { fleet, clock } = this.context;
    const nowMs = clock.nowMs();
    const members = fleet.members();
    const { near, relays } = recipients.selectViewRecipients(fleet.self, members);
    this.spreadNear(own, near, nowMs);
    if (nowMs - this.toldRelaysAtMs < constants.RELAY_INTERVAL_MS) return;
    this.toldRelaysAtMs = nowMs;
    const roomiest = selectRoomiest(own).slice(0, constants.RELAYED_ENGINES_PER_HOME);
    this.send(relays, this.relays.updateFor(relays, roomiest, nowMs));
    if (!recipients.isRelay(fleet.self, members)) return;
    const foreign = heard.filter((view) => view.dataCentre !== fleet.self.dataCentre);
    this.send(near, this.foreign.updateFor(near, selectRoomiest(foreign), nowMs));
  }

  private spreadNear(
    views: readonly engines.EngineView[],
    near: readonly string[],
    nowMs: number,
  ): void {
    const intervalMs = near.length * constants.VIEW_INTERVAL_PER_VM_MS;
    if (views.length === 0 || nowMs - this.toldNearAtMs < intervalMs) return;
    const update = this.near.updateFor(near, views, nowMs);
    const isSilent = update.profiles.length === 0 && update.changes.length === 0;
    if (isSilent && nowMs - this.toldNearAtMs < constants.VIEW_KEEPALIVE_MS) return;
    this.toldNearAtMs = nowMs;
    this.send(near, update);
  }

  private send(vmNames: readonly string[], update: summaries.ViewUpdate): void {
    for (const vmName of vmNames) {
      this.context.link.notify(vmName, messages.Method.EngineViews, update);
    }
  }
}

/** The engines with most free memory of each model; the others are no use to another data centre. */
function selectRoomiest(views: readonly engines.EngineView[]): readonly engines.EngineView[] {
  const countsByModel = new Map<string, number>();
  const sorted = views
    .filter((view) => view.health === engines.EngineHealth.Live)
    .sort((left, right) => freeTokens(right) - freeTokens(left));
  return sorted.filter((view) => {
    const key = view.loadedModels.map((item) => `${item.model}/${item.version}`).join();
    const count = countsByModel.get(key) ?? 0;
    countsByModel.set(key, count + 1);
    return count < constants.RELAYED_ENGINES_PER_MODEL;
  });
}

function freeTokens(view: engines.EngineView): number {
  return view.capacityTokens - view.reservedTokens;
}
