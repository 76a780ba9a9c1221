import * as catalogueTypes from "../../../catalogue/types.js";
import * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as engineRequests from "../engineRequest/index.js";
import * as messages from "../messages/index.js";
import type * as records from "../generationRecord/index.js";
import * as summaries from "../viewSummary/index.js";

/** The last received view of an engine, and what was sent to the engine since. */
interface ReceivedView {
  readonly view: engines.EngineView;
  readonly change: summaries.EngineChange;
  readonly fromVm: string;
  readonly receivedAtMs: number;
  sentTokens: number;
  sentCount: number;
}

/** Engine views received from the engines' homes. */
export class EngineViews {
  private readonly views = new Map<string, ReceivedView>();
  private readonly profiles = new Map<number, summaries.EngineProfile>();
  private readonly leavingEngines = new Set<string>();

  constructor(private readonly context: contexts.GenerationContext) {}

  /** Registers the message handlers. */
  start(): void {
    const schema = summaries.viewUpdateSchema;
    this.context.link.handle(messages.Method.EngineViews, schema, (update, fromVm) => {
      this.applyUpdate(update, fromVm);
    });
  }

  /** Counts prompt tokens sent to an engine, until the next update from its home. */
  recordSent(engineName: string, tokens: number): void {
    const received = this.views.get(engineName);
    if (received === undefined) return;
    received.sentTokens += tokens;
    received.sentCount += 1;
  }

  /** Excludes a leaving engine from selection for good, whatever later views report. */
  markLeaving(engineName: string): void {
    this.leavingEngines.add(engineName);
  }

  /** Finds the view of one engine; null if none was received. */
  find(engineName: string): engines.EngineView | null {
    return this.list().find((view) => view.name === engineName) ?? null;
  }

  /** Lists all views, with their ages. */
  list(): readonly engines.EngineView[] {
    const nowMs = this.context.clock.nowMs();
    return [...this.views.values()].map((received) => ({
      ...received.view,
      ageMs: nowMs - received.receivedAtMs,
      sentSinceTokens: received.sentTokens,
      sentSinceCount: received.sentCount,
    }));
  }

  /**
   * Selects the engine for a generation's next run; the preferred one if it is usable.
   *
   * @returns the engine's name; null if none is usable
   */
  selectEngine(
    record: records.GenerationRecord,
    preferredEngine: string | null,
    isAvoided: (engineName: string) => boolean,
  ): string | null {
    const need = engineRequests.createNeed(record.request, record.tokens.length, {
      acceptedAtMs: 0,
      deadlineAtMs: Infinity,
    });
    const usable = this.list().filter((view) => this.isUsable(view) && !isAvoided(view.name));
    const preferred = usable.find((view) => view.name === preferredEngine);
    if (preferred !== undefined && engines.hasModelLoaded(preferred.loadedModels, need)) {
      return preferred.name;
    }
    const { fleet, random } = this.context;
    const options = { dataCentre: fleet.self.dataCentre, random };
    return engines.selectEngine(need, usable, options)?.engineName ?? null;
  }

  private isUsable(view: engines.EngineView): boolean {
    const item = this.context.catalogue.current().items.get(`engine/${view.name}`)?.item;
    if (item?.kind !== catalogueTypes.ItemKind.Engine) return false;
    if (item.state === catalogueTypes.DesiredState.Draining) return false;
    if (this.leavingEngines.has(view.name)) return false;
    return view.ageMs <= constants.VIEW_EXPIRY_MS;
  }

  private applyUpdate(update: summaries.ViewUpdate, fromVm: string): void {
    const receivedAtMs = this.context.clock.nowMs();
    // Unchanged views are left out of updates, so an update also renews the sender's other views.
    for (const [name, received] of this.views) {
      if (received.fromVm !== fromVm) continue;
      this.views.set(name, { ...received, receivedAtMs, sentTokens: 0, sentCount: 0 });
    }
    for (const profile of update.profiles) {
      this.profiles.set(profile.id, profile);
      const received = this.views.get(profile.name);
      if (received !== undefined) this.storeView(profile, received.change, fromVm);
    }
    for (const change of update.changes) {
      const profile = this.profiles.get(change[0]);
      if (profile !== undefined) this.storeView(profile, change, fromVm);
    }
  }

  private storeView(
    profile: summaries.EngineProfile,
    change: summaries.EngineChange,
    fromVm: string,
  ): void {
    const view = summaries.decodeView(profile, change);
    const receivedAtMs = this.context.clock.nowMs();
    this.views.set(view.name, { view, change, fromVm, receivedAtMs, sentTokens: 0, sentCount: 0 });
  }
}
