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
import * as fleetQueues from "../fleetQueue/index.js";

/** Manages the engines whose home this VM is, and handles messages of owners about their runs. */
export class HomeHandlers implements engineHomes.HomeObserver, AsyncDisposable {
  private readonly homes = new Map<string, engineHomes.EngineHome>();
  private readonly fleetQueue = new fleetQueues.FleetQueue();
  /** Monotonic time, by engine, until which its capacity is not offered again. */
  private readonly offeredUntilMs = new Map<string, number>();
  private readonly frames: frameBatchers.FrameBatcher;
  private readonly resources = new disposableStore.DisposableStore();

  constructor(private readonly context: contexts.GenerationContext) {
    this.frames = new frameBatchers.FrameBatcher(context.link, messages.Method.Frames);
  }

  /** Registers the message handlers, and follows changes of the catalogue and the fleet. */
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
      this.fleetQueue.recordReport(vm, items, this.context.clock.nowMs());
      for (const home of this.homes.values()) this.onCapacityAvailable(home);
    });
    this.resources.add(this.context.catalogue.onChange(() => this.refreshHomes()));
    this.resources.add(this.context.fleet.onChange(() => this.refreshHomes()));
    this.refreshHomes();
  }

  /** Lists the engines that this VM manages. */
  listHomes(): readonly engineHomes.EngineHome[] {
    return [...this.homes.values()];
  }

  /** Finds the run of a request on any engine of this VM; null if there is none. */
  findRun(requestId: string): engineRuns.EngineRun | null {
    for (const home of this.homes.values()) {
      const run = home.runs.get(requestId);
      if (run !== undefined) return run;
    }
    return null;
  }

  /** Lists all runs of this VM's engines, including those retained after their end. */
  listRuns(): readonly engineRuns.EngineRun[] {
    return this.listHomes().flatMap((home) => [...home.runs.values()]);
  }

  /** Marks an engine as leaving, as reported by a source outside the catalogue. */
  markEngineLeaving(engineName: string): void {
    this.homes.get(engineName)?.terminationNotice.recordNotice(Infinity);
  }

  /** Checks the runs of all engines for silence and expiry. */
  checkTimeouts(nowMs: number): void {
    for (const home of this.homes.values()) home.checkTimeouts(nowMs);
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

  /** Offers an engine's free memory to the VM with the most urgent request for it. */
  onCapacityAvailable(home: engineHomes.EngineHome): void {
    const nowMs = this.context.clock.nowMs();
    const { name } = home.engine;
    if (nowMs < (this.offeredUntilMs.get(name) ?? 0)) return;
    const freeTokens = home.computeFreeTokens(nowMs);
    if (freeTokens <= 0) return;
    const urgent = this.fleetQueue.selectMostUrgent(home.createView(nowMs).loadedModels, nowMs);
    if (urgent === null) return;
    this.fleetQueue.remove(urgent.item.requestId);
    this.offeredUntilMs.set(name, nowMs + constants.CAPACITY_OFFER_TIMEOUT_MS);
    const offer = { engineName: name, freeTokens };
    this.context.link.notify(urgent.vmName, messages.Method.CapacityOffer, offer);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const home of this.homes.values()) home[Symbol.dispose]();
    await this.resources[Symbol.asyncDispose]();
  }

  private dispatch(dispatch: messages.DispatchRequest, fromVm: string): messages.DispatchAnswer {
    const home = this.findOrCreateHome(dispatch.engineName);
    if (home === null) {
      return {
        verdict: messages.DispatchVerdict.Unavailable,
        reason: `engine ${dispatch.engineName} is not in the catalogue`,
        estimatedWaitMs: constants.WAITING_RETRY_MS,
        attempt: 0,
        ownerVm: fromVm,
      };
    }
    this.cancelOlderRunOnOtherEngine(dispatch);
    if (dispatch.isOffered) this.offeredUntilMs.delete(dispatch.engineName);
    const answer = home.dispatch(dispatch, this.isBypassingWaitingRequest(home, dispatch));
    if (answer.verdict === messages.DispatchVerdict.Admitted) {
      this.fleetQueue.remove(dispatch.snapshot.request.requestId);
      this.onCapacityAvailable(home);
    }
    return answer;
  }

  /** Whether a request without an offer would bypass a waiting one that is at least as urgent. */
  private isBypassingWaitingRequest(
    home: engineHomes.EngineHome,
    dispatch: messages.DispatchRequest,
  ): boolean {
    if (dispatch.isOffered) return false;
    const nowMs = this.context.clock.nowMs();
    const urgent = this.fleetQueue.selectMostUrgent(home.createView(nowMs).loadedModels, nowMs);
    const { request } = dispatch.snapshot;
    if (urgent === null || urgent.item.requestId === request.requestId) return false;
    return urgent.item.rank <= engines.priorityOf(request.entry.class);
  }

  /** Cancels an older run of the same generation on another engine of this VM. */
  private cancelOlderRunOnOtherEngine(dispatch: messages.DispatchRequest): void {
    const { requestId } = dispatch.snapshot.request;
    const run = this.findRun(requestId);
    if (run === null || run.engineName === dispatch.engineName) return;
    if (run.attempt < dispatch.snapshot.attempt) {
      const { attempt } = run;
      this.homes.get(run.engineName)?.cancel({ requestId, attempt, keptStream: null });
    }
  }

  /** Answers whether an attempt runs or has finished here, and resends tokens from an offset. */
  private probe(probe: { requestId: string; attempt: number; offset: number }): {
    isRunning: boolean;
    tokensCount: number;
  } {
    const run = this.findRun(probe.requestId);
    if (run?.attempt !== probe.attempt) return { isRunning: false, tokensCount: 0 };
    run.resend(probe.offset);
    return { isRunning: !run.isEnded || run.finishReason !== null, tokensCount: run.tokens.length };
  }

  /** Manages the engine also if its home is another VM, which the owner may be unable to reach. */
  private findOrCreateHome(engineName: string): engineHomes.EngineHome | null {
    const known = this.homes.get(engineName);
    if (known !== undefined) return known;
    const item = this.context.catalogue.current().items.get(`engine/${engineName}`)?.item;
    if (item?.kind !== catalogueTypes.ItemKind.Engine) return null;
    return this.createHome(item);
  }

  private refreshHomes(): void {
    const members = this.context.fleet.members();
    for (const { item } of this.context.catalogue.current().items.values()) {
      if (item.kind !== catalogueTypes.ItemKind.Engine) continue;
      const isHome = selectHomes.selectHome(item, members) === this.context.link.selfName;
      if (isHome && !this.homes.has(item.name)) this.createHome(item);
    }
    this.disposeUnusedHomes();
  }

  /** Stops managing engines whose home is another VM, once they have no runs here. */
  private disposeUnusedHomes(): void {
    const members = this.context.fleet.members();
    for (const home of this.homes.values()) {
      const isHome = selectHomes.selectHome(home.engine, members) === this.context.link.selfName;
      if (isHome || home.runs.size > 0) continue;
      home[Symbol.dispose]();
      this.homes.delete(home.engine.name);
    }
  }

  private createHome(engine: catalogue.EngineBackend): engineHomes.EngineHome {
    const home = new engineHomes.EngineHome(this.context, engine, this);
    this.homes.set(engine.name, home);
    void home.pollLoadReports();
    return home;
  }
}
