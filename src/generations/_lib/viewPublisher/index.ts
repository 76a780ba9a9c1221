import * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as recipients from "../viewRecipients/index.js";
import * as sentViews from "../sentViews/index.js";
import type * as summaries from "../viewSummary/index.js";

/** Sends this home's engine views to other VMs, and forwards views between data centres. */
export class ViewPublisher {
  private readonly sentDirect = new sentViews.SentViews();
  private readonly sentToRelays = new sentViews.SentViews();
  private readonly sentRemote = new sentViews.SentViews();
  private directSentAtMs = -Infinity;
  private relaysSentAtMs = -Infinity;

  constructor(private readonly context: contexts.GenerationContext) {}

  /**
   * Sends the updates that are due.
   *
   * @param localViews - the views of this home's engines
   * @param received - all views received from homes, of which a relay forwards the remote ones
   */
  publish(
    localViews: readonly engines.EngineView[],
    received: readonly engines.EngineView[],
  ): void {
    const { fleet, clock } = this.context;
    const nowMs = clock.nowMs();
    const members = fleet.members();
    const { direct, relays } = recipients.selectViewRecipients(fleet.self, members);
    this.publishDirect(localViews, direct, nowMs);
    if (nowMs - this.relaysSentAtMs < constants.RELAY_INTERVAL_MS) return;
    this.relaysSentAtMs = nowMs;
    const mostAvailable = selectMostAvailable(localViews).slice(
      0,
      constants.MAX_RELAYED_ENGINES_PER_HOME_COUNT,
    );
    this.send(relays, this.sentToRelays.createUpdate(relays, mostAvailable, nowMs));
    if (!recipients.isRelay(fleet.self, members)) return;
    const remote = received.filter((view) => view.dataCentre !== fleet.self.dataCentre);
    this.send(direct, this.sentRemote.createUpdate(direct, selectMostAvailable(remote), nowMs));
  }

  private publishDirect(
    views: readonly engines.EngineView[],
    direct: readonly string[],
    nowMs: number,
  ): void {
    const intervalMs = direct.length * constants.VIEW_INTERVAL_PER_VM_MS;
    if (views.length === 0 || nowMs - this.directSentAtMs < intervalMs) return;
    const update = this.sentDirect.createUpdate(direct, views, nowMs);
    const isEmpty = update.profiles.length === 0 && update.changes.length === 0;
    if (isEmpty && nowMs - this.directSentAtMs < constants.VIEW_KEEPALIVE_INTERVAL_MS) return;
    this.directSentAtMs = nowMs;
    this.send(direct, update);
  }

  private send(vmNames: readonly string[], update: summaries.ViewUpdate): void {
    for (const vmName of vmNames) {
      this.context.link.notify(vmName, messages.Method.EngineViews, update);
    }
  }
}

/** Selects the live engines with most free memory for each set of loaded models. */
function selectMostAvailable(views: readonly engines.EngineView[]): readonly engines.EngineView[] {
  const countsByModel = new Map<string, number>();
  const sorted = views
    .filter((view) => view.health === engines.EngineHealth.Live)
    .sort((left, right) => computeFreeTokens(right) - computeFreeTokens(left));
  return sorted.filter((view) => {
    const key = view.loadedModels.map((item) => `${item.model}/${item.version}`).join();
    const count = countsByModel.get(key) ?? 0;
    countsByModel.set(key, count + 1);
    return count < constants.MAX_RELAYED_ENGINES_PER_MODEL_SET_COUNT;
  });
}

function computeFreeTokens(view: engines.EngineView): number {
  return view.capacityTokens - view.reservedTokens;
}
