import * as neverthrow from "neverthrow";

import * as dispatch from "../../dispatch/index.js";
import type * as routing from "../../routing/index.js";
import type * as servers from "../../servers/index.js";
import * as engineSlowness from "../_lib/engineSlowness/index.js";
import * as constants from "../constants.js";
import type * as types from "./types.js";

export type * from "./types.js";

interface OwnWaiting extends dispatch.FleetWaiting {
  readonly request: types.PlacementRequest;
  /** On this VM's steady clock. */
  readonly enqueuedAtMs: number;
  readonly settle: (result: neverthrow.Result<types.Placement, types.PlacementRefusal>) => void;
}

/**
 * Places this VM's generations on engines, and lets those wait that find no room. They stand in one
 * queue with those of the other VMs, which each VM knows and allots room by.
 */
export class EngineDispatcher implements Disposable {
  private readonly waiting = new Set<OwnWaiting>();
  private readonly slowness = new engineSlowness.EngineSlowness();
  private tick: Disposable | null = null;

  constructor(private readonly context: types.DispatcherContext) {}

  /** Generations that wait for room at this VM. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Generations that wait for room at this VM. */
  get ownWaiting(): readonly dispatch.FleetWaiting[] {
    return [...this.waiting];
  }

  /** Claims an engine for a generation, now or once there is room. */
  place(
    request: types.PlacementRequest,
  ): Promise<neverthrow.Result<types.Placement, types.PlacementRefusal>> {
    return new Promise((resolve) => {
      const waiting = this.createWaiting(request, (result) => {
        this.waiting.delete(waiting);
        request.signal.removeEventListener("abort", onGone);
        if (isTold) this.context.broadcast.removeWaiting(request.requestId);
        resolve(result);
      });
      let isTold = false;
      const onGone = (): void => waiting.settle(refusal("caller-gone", 0, this.waiting.size));
      request.signal.addEventListener("abort", onGone, { once: true });
      this.waiting.add(waiting);
      this.pump();
      if (!this.waiting.has(waiting)) return;
      isTold = true;
      this.context.broadcast.putWaiting(waiting);
    });
  }

  /** Engines of a service that could take a generation now, with their loads. */
  candidates(
    serviceName: string,
    avoidedIds: ReadonlySet<string>,
  ): readonly dispatch.EngineCandidate[] {
    const { context } = this;
    const traits = context.engineTraits(serviceName);
    if (traits === null) return [];
    const usable = context.directory
      .available(serviceName)
      .filter(({ entry }) => !avoidedIds.has(entry.id) && !context.trust.isSuspended(entry.id));
    return usable.map((server) => this.toCandidate(server, traits));
  }

  /** What the engines of a service can do; null for services without engines. */
  traitsOf(serviceName: string): routing.EngineTraits | null {
    return this.context.engineTraits(serviceName);
  }

  /** What the claims on an engine add up to. */
  loadOf(serverId: string): dispatch.EngineLoad {
    return this.context.claims.loadOf(serverId);
  }

  /** Runs of an engine that have begun and have no copy elsewhere. */
  runsToMoveFrom(serverId: string): readonly dispatch.MovingRun[] {
    const { claims } = this.context;
    return claims
      .ofServer(serverId)
      .filter(({ role, hasFirstEvent }) => role === dispatch.ClaimRole.Run && hasFirstEvent)
      .filter(({ requestId }) => claims.find(requestId, dispatch.ClaimRole.Backup) === undefined)
      .map(({ requestId, promptTokens, producedTokens }) => {
        return { requestId, usedTokens: promptTokens + producedTokens };
      });
  }

  /** A claim that is held, of this VM or another. */
  claimOf(requestId: string, role: dispatch.ClaimRole): dispatch.Claim | undefined {
    return this.context.claims.find(requestId, role);
  }

  /** Takes a claim or changes it, here and at the other VMs. */
  putClaim(claim: dispatch.Claim): void {
    this.context.claims.put(claim);
    this.context.broadcast.put(claim);
  }

  /** Notes how far a run has come; the other VMs learn it with the next summary of claims. */
  noteProgress(requestId: string, producedTokens: number): void {
    const claim = this.context.claims.find(requestId, dispatch.ClaimRole.Run);
    if (claim !== undefined) this.context.claims.put({ ...claim, producedTokens });
  }

  /** Gives a claim back, and tries who waits for its room. */
  releaseClaim(requestId: string, role: dispatch.ClaimRole): void {
    if (this.context.claims.find(requestId, role) === undefined) return;
    this.context.claims.release(requestId, role);
    this.context.broadcast.release(requestId, role);
    this.requestPump();
  }

  /** Learns how fast an engine is from the time to a first event. */
  noteFirstEvent(serverId: string, expectedMs: number, observedMs: number): void {
    this.slowness.note(serverId, expectedMs, observedMs);
  }

  /**
   * Has the queue looked through soon, once for all that has changed until then: at the peak, word of
   * other VMs' work comes many times a second, and a look through a long queue takes its time.
   */
  requestPump(): void {
    this.scheduleTick();
  }

  /** Places the generations of this VM that are allotted room. */
  pump(): void {
    const serviceNames = new Set([...this.waiting].map(({ serviceName }) => serviceName));
    for (const serviceName of serviceNames) this.pumpService(serviceName);
    this.scheduleTick();
  }

  [Symbol.dispose](): void {
    this.tick?.[Symbol.dispose]();
    for (const waiting of this.waiting) {
      waiting.settle(refusal("no-server", constants.DEFAULT_RETRY_AFTER_MS, 0));
    }
  }

  private createWaiting(request: types.PlacementRequest, settle: OwnWaiting["settle"]): OwnWaiting {
    const { clock, vmName } = this.context;
    const nowMs = clock.nowMs();
    const nowWallMs = clock.wallTimeMs();
    return {
      request,
      requestId: request.requestId,
      vmName,
      serviceName: request.serviceName,
      priority: request.priority,
      need: request.need,
      avoidedIds: request.avoidedIds,
      enqueuedAtMs: nowMs,
      enqueuedAtWallMs: nowWallMs,
      objectiveAtWallMs: nowWallMs + request.objectiveAtMs - nowMs,
      settle,
    };
  }

  private pumpService(serviceName: string): void {
    const { board, clock } = this.context;
    const nowWallMs = clock.wallTimeMs();
    const others = board.ofService(serviceName);
    const own = [...this.waiting].filter((waiting) => waiting.serviceName === serviceName);
    const ordered = dispatch.orderWaiting([...own, ...others], nowWallMs);
    const candidates = this.candidates(serviceName, new Set());
    // What stands behind the last one of this VM makes no difference to it.
    const lastOwnIndex = ordered.findLastIndex(({ vmName }) => vmName === this.context.vmName);
    const relevant = ordered.slice(0, lastOwnIndex + 1);
    const allotted = dispatch.allotRoom(relevant, candidates, nowWallMs);
    for (const other of others) board.noteAllotment(other.requestId, allotted.has(other));
    for (const waiting of own) {
      const engine = allotted.get(waiting);
      if (engine === undefined) this.refuseIfHopeless(waiting, ordered, candidates);
      else this.placeOn(waiting, engine, { candidates, queuedCount: ordered.length });
    }
  }

  private placeOn(
    waiting: OwnWaiting,
    engine: dispatch.EngineCandidate,
    seen: {
      readonly candidates: readonly dispatch.EngineCandidate[];
      readonly queuedCount: number;
    },
  ): void {
    const { request } = waiting;
    const server = this.context.directory.find(engine.serverId);
    if (server === undefined) return;
    this.putClaim(claimOf(request, engine.serverId, this.context.vmName));
    waiting.settle(
      neverthrow.ok({
        server,
        expectedFirstEventMs: dispatch.estimateFirstEvent(request.need, engine),
        waitedMs: this.context.clock.nowMs() - waiting.enqueuedAtMs,
        candidatesCount: seen.candidates.length,
        queuedCount: seen.queuedCount,
      }),
    );
  }

  private refuseIfHopeless(
    waiting: OwnWaiting,
    ordered: readonly dispatch.WaitingGeneration[],
    candidates: readonly dispatch.EngineCandidate[],
  ): void {
    const { request } = waiting;
    const usable = candidates.filter(({ serverId }) => !request.avoidedIds.has(serverId));
    const expectedWaitMs = this.expectedWait(waiting, ordered, usable);
    const admission = dispatch.decideAdmission({
      expectedWaitMs: Number.isFinite(expectedWaitMs) ? expectedWaitMs : 0,
      expectedRunMs: request.expectedRunMs,
      timeLeftMs: request.deadlineAtMs - this.context.clock.nowMs(),
    });
    if (admission === dispatch.Admission.Wait) return;
    const kind = usable.length === 0 ? "no-server" : "no-room";
    waiting.settle(refusal(kind, expectedWaitMs, ordered.length));
  }

  private expectedWait(
    waiting: OwnWaiting,
    ordered: readonly dispatch.WaitingGeneration[],
    candidates: readonly dispatch.EngineCandidate[],
  ): number {
    const ahead = ordered.slice(0, ordered.indexOf(waiting));
    return dispatch.estimateRoomWait({
      aheadTokens: ahead.reduce((sum, { need }) => sum + dispatch.neededTokens(need), 0),
      neededTokens: dispatch.neededTokens(waiting.need),
      freeTokens: candidates.reduce(
        (sum, engine) => sum + Math.max(0, engine.memoryTokens - engine.committedTokens),
        0,
      ),
      releaseTokensPerMs: this.context.claims.releaseRate(),
    });
  }

  private toCandidate(
    { entry }: servers.KnownServer,
    traits: routing.EngineTraits,
  ): dispatch.EngineCandidate {
    return {
      ...this.context.claims.loadOf(entry.id),
      serverId: entry.id,
      dataCentre: entry.dataCentre,
      memoryTokens: traits.memoryTokens,
      slotsCount: entry.slotsCount,
      coldRemainingMs: entry.coldRemainingMs,
      failureRatio: this.context.trust.failureRatio(entry.id),
      isCutOff: this.context.trust.isSuspected(entry.dataCentre),
      slownessRatio: this.slowness.ratioOf(entry.id),
    };
  }

  private scheduleTick(): void {
    if (this.waiting.size === 0 || this.tick !== null) return;
    this.tick = this.context.clock.schedule(constants.QUEUE_TICK_MS, () => {
      this.tick = null;
      this.pump();
    });
  }
}

function claimOf(
  request: types.PlacementRequest,
  serverId: string,
  vmName: string,
): dispatch.Claim {
  return {
    requestId: request.requestId,
    role: request.role,
    vmName,
    serverId,
    unreadTokens: request.need.unreadTokens,
    promptTokens: request.need.promptTokens,
    expectedOutputTokens: request.need.expectedOutputTokens,
    producedTokens: request.need.producedTokens,
    hasFirstEvent: request.need.unreadTokens === 0,
  };
}

function refusal(
  kind: types.PlacementRefusal["kind"],
  expectedWaitMs: number,
  queuedCount: number,
): neverthrow.Result<never, types.PlacementRefusal> {
  return neverthrow.err({ kind, expectedWaitMs, queuedCount });
}
