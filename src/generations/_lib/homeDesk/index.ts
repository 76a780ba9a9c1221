import * as disposableStore from "../../../_lib/disposableStore/index.js";
import type * as catalogue from "../../../catalogue/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";
import type * as types from "../../types.js";
import * as constants from "../../constants.js";
import * as selectHomes from "../../selectHome/index.js";
import type * as contexts from "../context/index.js";
import * as engineHomes from "../engineHome/index.js";
import type * as engineRuns from "../engineRun/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import * as messages from "../messages/index.js";

/** Which entry VMs have work waiting for an engine. */
type InterestedVms = Map<string, number>;

/** The engines whose home this VM is, and the messages of owners to it. */
export class HomeDesk implements engineHomes.HomeObserver, AsyncDisposable {
  private readonly homes = new Map<string, engineHomes.EngineHome>();
  private readonly interests = new Map<string, InterestedVms>();
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
    link.handle(messages.Method.Cancel, messages.attemptSchema, (cancel) => {
      for (const home of this.homes.values()) home.cancel(cancel.requestId, cancel.attempt);
    });
    link.handle(messages.Method.Credit, messages.creditSchema, (credit) => {
      const run = this.findRun(credit.requestId);
      if (run?.attempt === credit.attempt) run.grantCredit(credit.offset ?? Infinity);
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

  onRoom(home: engineHomes.EngineHome): void {
    const interested = this.interests.get(home.engine.name);
    const vmName = mostUrgentVm(interested);
    if (vmName === null) return;
    interested?.delete(vmName);
    this.context.link.notify(vmName, messages.Method.Room, { engineName: home.engine.name });
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
    const answer = home.dispatch(dispatch);
    if (answer.verdict === messages.DispatchVerdict.Wait) {
      const urgency = dispatch.snapshot.request.deadlineAtWallMs;
      this.noteInterest(dispatch.engineName, fromVm, urgency);
    }
    return answer;
  }

  /** A newer attempt on another engine ends the older run here. */
  private dropElsewhere(dispatch: messages.DispatchRequest): void {
    const { requestId } = dispatch.snapshot.request;
    const run = this.findRun(requestId);
    if (run === null || run.engineName === dispatch.engineName) return;
    if (run.attempt < dispatch.snapshot.attempt) {
      this.homes.get(run.engineName)?.cancel(requestId, run.attempt);
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

  private noteInterest(engineName: string, vmName: string, urgency: number): void {
    const interested = this.interests.get(engineName) ?? new Map<string, number>();
    this.interests.set(engineName, interested);
    interested.set(vmName, Math.min(interested.get(vmName) ?? Infinity, urgency));
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
    const listed = new Set<string>();
    for (const { item } of this.context.catalogue.current().items.values()) {
      if (item.kind !== catalogueTypes.ItemKind.Engine) continue;
      listed.add(item.name);
      const isHome = selectHomes.selectHome(item, members) === this.context.link.selfName;
      if (isHome && !this.homes.has(item.name)) this.open(item);
      this.followCatalogue(item);
    }
    for (const home of this.homes.values()) {
      if (!listed.has(home.engine.name)) home.leaving.note(Infinity);
    }
  }

  private followCatalogue(engine: catalogue.EngineBackend): void {
    if (engine.state !== catalogueTypes.DesiredState.Draining) return;
    this.homes.get(engine.name)?.leaving.note(Infinity);
  }

  private open(engine: catalogue.EngineBackend): engineHomes.EngineHome {
    const home = new engineHomes.EngineHome(this.context, engine, this);
    this.homes.set(engine.name, home);
    void home.poll();
    return home;
  }
}

function mostUrgentVm(interested: InterestedVms | undefined): string | null {
  const sorted = [...(interested ?? [])].sort((left, right) => left[1] - right[1]);
  return sorted[0]?.[0] ?? null;
}
