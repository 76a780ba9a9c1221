import * as zod from "zod";

import * as catalogueTypes from "../../../catalogue/types.js";
import * as engines from "../../../engines/index.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import type * as engineHomes from "../engineHome/index.js";
import * as engineRequests from "../engineRequest/index.js";
import * as messages from "../messages/index.js";
import type * as records from "../record/index.js";

const viewSchema = zod.object({
  name: zod.string(),
  dataCentre: zod.string(),
  health: zod.enum(engines.EngineHealth),
  capacityTokens: zod.number(),
  reservedTokens: zod.number(),
  runningCount: zod.number(),
  waitingCount: zod.number(),
  stepTimeMs: zod.number(),
  loadedModels: zod.array(
    zod.object({ model: zod.string(), version: zod.string(), adapters: zod.array(zod.string()) }),
  ),
});

interface HeldView {
  readonly view: zod.infer<typeof viewSchema>;
  readonly receivedAtMs: number;
  sentTokens: number;
  sentCount: number;
}

/** What this VM knows about engines, from their homes' summaries. */
export class EngineViews {
  private readonly views = new Map<string, HeldView>();
  private readonly leavingEngines = new Set<string>();

  constructor(private readonly context: contexts.GenerationContext) {}

  start(): void {
    const schema = zod.array(viewSchema);
    this.context.link.handle(messages.Method.EngineViews, schema, (received) => {
      for (const view of received) this.take(view);
    });
  }

  /** Sends the views of this VM's engines to the others. */
  spread(homes: readonly engineHomes.EngineHome[]): void {
    if (homes.length === 0) return;
    const nowMs = this.context.clock.nowMs();
    const summaries = homes.map((home) => viewSchema.parse(home.view(nowMs)));
    for (const member of this.context.fleet.members()) {
      this.context.link.notify(member.name, messages.Method.EngineViews, summaries);
    }
  }

  /** Notes work sent to an engine, which its next summary will show. */
  noteSent(engineName: string, tokens: number): void {
    const held = this.views.get(engineName);
    if (held === undefined) return;
    held.sentTokens += tokens;
    held.sentCount += 1;
  }

  /** Notes that an engine leaves; nothing is sent there from here on, whatever views still say. */
  noteLeaving(engineName: string): void {
    this.leavingEngines.add(engineName);
  }

  /** What is known of one engine; null where nothing is. */
  find(engineName: string): engines.EngineView | null {
    return this.list().find((view) => view.name === engineName) ?? null;
  }

  /** All views, with their age. */
  list(): readonly engines.EngineView[] {
    const nowMs = this.context.clock.nowMs();
    return [...this.views.values()].map((held) => ({
      ...held.view,
      ageMs: nowMs - held.receivedAtMs,
      sentSinceTokens: held.sentTokens,
      sentSinceCount: held.sentCount,
    }));
  }

  /**
   * The engine that should run a generation next, or the preferred one where it can.
   *
   * @returns the engine's name; null where none can
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

  private take(view: zod.infer<typeof viewSchema>): void {
    const receivedAtMs = this.context.clock.nowMs();
    this.views.set(view.name, { view, receivedAtMs, sentTokens: 0, sentCount: 0 });
  }
}
