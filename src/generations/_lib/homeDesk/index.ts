import * as zod from "zod";

import * as disposableStore from "../../../_lib/disposableStore/index.js";
import type * as catalogue from "../../../catalogue/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";
import * as engines from "../../../engines/index.js";
import type * as types from "../../types.js";
import * as constants from "../../constants.js";
import * as selectHomes from "../../selectHome/index.js";
import type * as contexts from "../context/index.js";
import * as engineHomes from "../engineHome/index.js";
import type * as engineRuns from "../engineRun/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import * as messages from "../messages/index.js";
import * as waitingBoards from "../waitingBoard/index.js";

/** The engines whose home this VM is, and the messages of owners to it. */
export class HomeDesk implements engineHomes.HomeObserver, AsyncDisposable {
  private readonly homes = new Map<string, engineHomes.EngineHome>();
  private readonly board = new waitingBoards.WaitingBoard();
  /** Until when the room of an engine is kept for the VM it was announced to. */
  private readonly offeredUntilMs = new Map<string, number>();
  private readonly frames: frameBatchers.FrameBatcher;
  private readonly resources = new disposableStore.DisposableStore();

  constructor(private readonly context: contexts.GenerationContext) {
    this.frames = new frameBatchers.FrameBatcher(context.link, messages.Method.Frames);
  }

  /** Takes up the engines of this VM, and follows changes of the catalogue and the fleet. */
  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Dispatch, messages.dispatchSchema, (dispatch, fromVm) =>
      this.dispatch(dispatch, fromVm),
    );
    link.handle(messages.Method.Probe, messages.offsetSchema, (probe) => this.probe(probe));
    link.handle(messages.Method.Cancel, messages.cancelSchema, (cancel) => {
      for (const home of this.homes.values()) home.cancel(cancel);
    });
    link.handle(messages.Method.Credit, messages.creditSchema, (credit) => {
      const run = this.findRun(credit.requestId);
      if (run?.attempt === credit.attempt) run.grantCredit(credit.offset ?? Infinity);
    });
    link.handle(messages.Method.Waiting, zod.array(messages.waitingItemSchema), (items, vm) => {
      this.board.take(vm, items, this.context.clock.nowMs());
      for (const home of this.homes.values()) this.onRoom(home);
    });
    this.resources.add(this.context.catalogue.onChange(() => this.refresh()));
    this.resources.add(this.context.fleet.onChange(() => this.refresh()));
    this.refresh();
  }

  /** Homes held, for views and explanations. */
  list(): readonly engineHomes.EngineHome[] {
    return [...this.homes.values()];
  }

  findRun(requestId: string): engineRuns.EngineRun | null {
    for (const home of this.homes.values()) {
      const run = home.runs.get(requestId);
      if (run !== undefined) return run;
    }
    return null;
  }

  /** All runs of this VM's engines, those kept after their end included. */
  listRuns(): readonly engineRuns.EngineRun[] {
    return this.list().flatMap((home) => [...home.runs.values()]);
  }

  /** Notes that an engine leaves, as some source outside the catalogue says. */
  noteLeaving(engineName: string): void {
    this.homes.get(engineName)?.leaving.note(Infinity);
  }

  watch(nowMs: number): void {
    for (const home of this.homes.values()) home.watch(nowMs);
  }

  onFrame(run: engineRuns.EngineRun, frame: types.TokenFrame): void {
    this.frames.push(run.ownerVm, frame);
  }

  onRunEnded(run: engineRuns.EngineRun, kind: messages.RunEndKind, reason: string): void {
    const { requestId, attempt } = run;
    this.context.link.notify(run.ownerVm, messages.Method.RunEnded, {
      requestId,
      attempt,
      kind,
      reason,
    });
  }

  /** Announces room to the VM that has the most urgent work waiting for it. */
  onRoom(home: engineHomes.EngineHome): void {
    const nowMs = this.context.clock.nowMs();
    const { name } = home.engine;
    if (nowMs < (this.offeredUntilMs.get(name) ?? 0)) return;
    const freeTokens = home.freeTokens(nowMs);
    if (freeTokens <= 0) return;
    const urgent = this.board.mostUrgent(home.view(nowMs).loadedModels, nowMs);
    if (urgent === null) return;
    this.board.remove(urgent.item.requestId);
    this.offeredUntilMs.set(name, nowMs + constants.ROOM_OFFER_MS);
    const room = { engineName: name, freeTokens };
    this.context.link.notify(urgent.vmName, messages.Method.Room, room);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const home of this.homes.values()) home[Symbol.dispose]();
    await this.resources[Symbol.asyncDispose]();
  }

  private dispatch(dispatch: messages.DispatchRequest, fromVm: string): messages.DispatchAnswer {
    const home = this.homeFor(dispatch.engineName);
    if (home === null) {
      return {
        verdict: messages.DispatchVerdict.Unavailable,
        reason: `engine ${dispatch.engineName} is not in the catalogue`,
        estimatedWaitMs: constants.WAITING_RETRY_MS,
        attempt: 0,
        ownerVm: fromVm,
      };
    }
    this.dropElsewhere(dispatch);
    if (dispatch.isOffered) this.offeredUntilMs.delete(dispatch.engineName);
    const answer = home.dispatch(dispatch, this.isOvertaking(home, dispatch));
    if (answer.verdict === messages.DispatchVerdict.Admitted) {
      this.board.remove(dispatch.snapshot.request.requestId);
      this.onRoom(home);
    }
    return answer;
  }

  /** Whether work that was not called would go before more urgent work that waits. */
  private isOvertaking(home: engineHomes.EngineHome, dispatch: messages.DispatchRequest): boolean {
    if (dispatch.isOffered) return false;
    const nowMs = this.context.clock.nowMs();
    const urgent = this.board.mostUrgent(home.view(nowMs).loadedModels, nowMs);
    const { request } = dispatch.snapshot;
    if (urgent === null || urgent.item.requestId === request.requestId) return false;
    return urgent.item.rank <= engines.priorityOf(request.entry.class);
  }

  /** A newer attempt on another engine ends the older run here. */
  private dropElsewhere(dispatch: messages.DispatchRequest): void {
    const { requestId } = dispatch.snapshot.request;
    const run = this.findRun(requestId);
    if (run === null || run.engineName === dispatch.engineName) return;
    if (run.attempt < dispatch.snapshot.attempt) {
      const { attempt } = run;
      this.homes.get(run.engineName)?.cancel({ requestId, attempt, keptStream: null });
    }
  }

  private probe(probe: { requestId: string; attempt: number; offset: number }): {
    isRunning: boolean;
    tokensCount: number;
  } {
    const run = this.findRun(probe.requestId);
    if (run?.attempt !== probe.attempt) return { isRunning: false, tokensCount: 0 };
    run.resend(probe.offset);
    return { isRunning: !run.isEnded || run.finishReason !== null, tokensCount: run.tokens.length };
  }

  /** An engine that this VM is not the home of is taken up all the same: its home may be cut off. */
  private homeFor(engineName: string): engineHomes.EngineHome | null {
    const known = this.homes.get(engineName);
    if (known !== undefined) return known;
    const item = this.context.catalogue.current().items.get(`engine/${engineName}`)?.item;
    if (item?.kind !== catalogueTypes.ItemKind.Engine) return null;
    return this.open(item);
  }

  private refresh(): void {
    const members = this.context.fleet.members();
    for (const { item } of this.context.catalogue.current().items.values()) {
      if (item.kind !== catalogueTypes.ItemKind.Engine) continue;
      const isHome = selectHomes.selectHome(item, members) === this.context.link.selfName;
      if (isHome && !this.homes.has(item.name)) this.open(item);
    }
    this.closeForeign();
  }

  /** Engines whose home is elsewhere are let go once nothing of theirs runs here. */
  private closeForeign(): void {
    const members = this.context.fleet.members();
    for (const home of this.homes.values()) {
      const isHome = selectHomes.selectHome(home.engine, members) === this.context.link.selfName;
      if (isHome || home.runs.size > 0) continue;
      home[Symbol.dispose]();
      this.homes.delete(home.engine.name);
    }
  }

  private open(engine: catalogue.EngineBackend): engineHomes.EngineHome {
    const home = new engineHomes.EngineHome(this.context, engine, this);
    this.homes.set(engine.name, home);
    void home.poll();
    return home;
  }
}
