import * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import type * as randoms from "../../_lib/random/index.js";
import * as dispatch from "../../dispatch/index.js";
import type * as routing from "../../routing/index.js";
import type * as servers from "../../servers/index.js";
import * as constants from "../constants.js";

/** What a generation asks of the dispatcher. */
export interface PlacementRequest {
  readonly requestId: string;
  readonly serviceName: string;
  readonly need: dispatch.GenerationNeed;
  readonly priority: number;
  readonly objectiveAtMs: number;
  readonly deadlineAtMs: number;
  /** Servers that refused the generation or could not be reached. */
  readonly avoidedIds: ReadonlySet<string>;
  /** Aborted once the caller is gone. */
  readonly signal: AbortSignal;
}

/** An engine that was claimed for a generation. */
export interface Placement {
  readonly server: servers.KnownServer;
  readonly expectedFirstEventMs: number;
  readonly waitedMs: number;
  /** Engines that were weighed. */
  readonly candidatesCount: number;
}

/** Why a generation found no engine. */
export interface PlacementRefusal {
  readonly kind: "no-server" | "no-room" | "caller-gone";
  readonly expectedWaitMs: number;
  readonly queuedCount: number;
}

interface Waiting extends dispatch.WaitingGeneration {
  readonly request: PlacementRequest;
  readonly settle: (result: neverthrow.Result<Placement, PlacementRefusal>) => void;
}

/** What the dispatcher decides with. */
export interface DispatcherContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  readonly vmName: string;
  readonly dataCentre: string;
  readonly directory: servers.ServerDirectory;
  readonly trust: servers.ServerTrust;
  readonly claims: dispatch.ClaimTable;
  readonly broadcast: dispatch.ClaimBroadcast;
  readonly engineTraits: (serviceName: string) => routing.EngineTraits | null;
}

/** Places this VM's generations on engines, and lets those wait that find no room. */
export class EngineDispatcher implements Disposable {
  private readonly waiting = new Set<Waiting>();
  private readonly slowness = new Map<string, number>();
  private tick: Disposable | null = null;

  constructor(private readonly context: DispatcherContext) {}

  /** Generations that wait for room at this VM. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Claims an engine for a generation, now or once there is room. */
  place(request: PlacementRequest): Promise<neverthrow.Result<Placement, PlacementRefusal>> {
    return new Promise((resolve) => {
      const enqueuedAtMs = this.context.clock.nowMs();
      const waiting: Waiting = {
        request,
        requestId: request.requestId,
        priority: request.priority,
        neededTokens: dispatch.neededTokens(request.need),
        enqueuedAtMs,
        objectiveAtMs: request.objectiveAtMs,
        settle: (result) => {
          this.waiting.delete(waiting);
          request.signal.removeEventListener("abort", onGone);
          resolve(result);
        },
      };
      const onGone = (): void => waiting.settle(refusal("caller-gone", 0, this.waiting.size));
      request.signal.addEventListener("abort", onGone, { once: true });
      this.waiting.add(waiting);
      this.pump();
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
    this.pump();
  }

  /** Learns how fast an engine is from the time to a first event. */
  noteFirstEvent(serverId: string, expectedMs: number, observedMs: number): void {
    const known = this.slowness.get(serverId) ?? 1;
    const observedRatio = (known * observedMs) / Math.max(1, expectedMs);
    const bounded = Math.min(
      constants.MAX_SLOWNESS_RATIO,
      Math.max(constants.MIN_SLOWNESS_RATIO, observedRatio),
    );
    this.slowness.set(serverId, known + constants.SLOWNESS_WEIGHT * (bounded - known));
  }

  /** Tries all generations that wait, in their order. */
  pump(): void {
    const nowMs = this.context.clock.nowMs();
    for (const waiting of dispatch.orderWaiting([...this.waiting], nowMs)) {
      const isPlaced = this.tryPlace(waiting, nowMs);
      if (isPlaced || !this.waiting.has(waiting)) continue;
      if (!dispatch.mayBeOvertaken(waiting, nowMs)) break;
    }
    this.scheduleTick();
  }

  [Symbol.dispose](): void {
    this.tick?.[Symbol.dispose]();
    for (const waiting of this.waiting) {
      waiting.settle(refusal("no-server", constants.DEFAULT_RETRY_AFTER_MS, 0));
    }
  }

  private tryPlace(waiting: Waiting, nowMs: number): boolean {
    const { request } = waiting;
    const candidates = this.candidates(request.serviceName, request.avoidedIds);
    const waitedMs = nowMs - waiting.enqueuedAtMs;
    const reachable = dispatch.reachableEngines(candidates, waitedMs);
    const engine = dispatch.selectEngine(request.need, reachable);
    const server = engine && this.context.directory.find(engine.serverId);
    if (engine === undefined || server === undefined) {
      this.refuseIfHopeless(waiting, candidates, nowMs);
      return false;
    }
    const expectedFirstEventMs = dispatch.estimateFirstEvent(request.need, engine);
    this.putClaim(claimOf(request, engine.serverId, this.context.vmName));
    const candidatesCount = candidates.length;
    waiting.settle(neverthrow.ok({ server, expectedFirstEventMs, waitedMs, candidatesCount }));
    return true;
  }

  private refuseIfHopeless(
    waiting: Waiting,
    candidates: readonly dispatch.EngineCandidate[],
    nowMs: number,
  ): void {
    const { request } = waiting;
    const expectedWaitMs = this.expectedWait(waiting, candidates);
    const admission = dispatch.decideAdmission({
      expectedWaitMs: Number.isFinite(expectedWaitMs) ? expectedWaitMs : 0,
      expectedRunMs: request.need.expectedOutputTokens * constants.TOKEN_MS,
      timeLeftMs: request.deadlineAtMs - nowMs,
    });
    if (admission === dispatch.Admission.Wait) return;
    const kind = candidates.length === 0 ? "no-server" : "no-room";
    waiting.settle(refusal(kind, expectedWaitMs, this.waiting.size));
  }

  private expectedWait(waiting: Waiting, candidates: readonly dispatch.EngineCandidate[]): number {
    let aheadTokens = 0;
    for (const other of this.waiting) {
      const isAhead = other !== waiting && other.enqueuedAtMs < waiting.enqueuedAtMs;
      if (isAhead) aheadTokens += other.neededTokens;
    }
    const freeTokens = candidates.reduce(
      (sum, engine) => sum + Math.max(0, engine.memoryTokens - engine.committedTokens),
      0,
    );
    return dispatch.estimateRoomWait({
      aheadTokens,
      neededTokens: waiting.neededTokens,
      freeTokens,
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
      slownessRatio: this.slowness.get(entry.id) ?? 1,
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

function claimOf(request: PlacementRequest, serverId: string, vmName: string): dispatch.Claim {
  return {
    requestId: request.requestId,
    role: dispatch.ClaimRole.Run,
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
  kind: PlacementRefusal["kind"],
  expectedWaitMs: number,
  queuedCount: number,
): neverthrow.Result<never, PlacementRefusal> {
  return neverthrow.err({ kind, expectedWaitMs, queuedCount });
}
