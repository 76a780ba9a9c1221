import * as neverthrow from "neverthrow";

import * as dispatch from "../../dispatch/index.js";
import type * as routing from "../../routing/index.js";
import * as servers from "../../servers/index.js";
import * as createClaims from "../_lib/createClaim/index.js";
import * as decideWaits from "../_lib/decideWait/index.js";
import * as localWaitings from "../_lib/localWaiting/index.js";
import * as scanQueues from "../_lib/scanQueue/index.js";
import * as constants from "../constants.js";
import type * as types from "./types.js";

export type * from "./types.js";

/**
 * Claims engines for this VM's generations, and queues those for which no engine has capacity. Each
 * VM keeps a view of the fleet's whole queue and allocates capacity in its order.
 */
export class EngineDispatcher implements Disposable {
  /** Speeds of engines that this VM and its peers have observed. */
  readonly speeds: dispatch.EngineSpeeds;
  private readonly cutRisk: dispatch.CutRisk;
  private readonly waiting = new Set<localWaitings.LocalWaitingGeneration>();
  private readonly sharesByService = new Map<string, dispatch.AccountShares | null>();
  private scanTimer: Disposable | null = null;
  /** End of the shutdown, at which callers' connections are closed; Infinity if not stopping. */
  private closesAtMs = Infinity;

  constructor(private readonly context: types.DispatcherContext) {
    this.speeds = new dispatch.EngineSpeeds(context.clock);
    this.cutRisk = new dispatch.CutRisk(context.clock);
  }

  /** Number of generations that wait for capacity at this VM. */
  get waitingCount(): number {
    return this.waiting.size;
  }

  /** Shares of the accounts that compete for the engines' memory, as of the last scan of a queue. */
  get accountShares(): dispatch.AccountShares {
    if (this.waiting.size === 0) return new Map();
    return new Map([...this.sharesByService.values()].flatMap((shares) => [...(shares ?? [])]));
  }

  /** Generations that wait for capacity at this VM. */
  get localWaiting(): readonly dispatch.FleetWaiting[] {
    return [...this.waiting];
  }

  /** Claims an engine as soon as one has capacity; refuses if the run is not expected to end in time. */
  place(
    request: types.PlacementRequest,
  ): Promise<neverthrow.Result<types.Placement, types.PlacementRefusal>> {
    return new Promise((resolve) => {
      const waiting = localWaitings.createLocalWaiting(request, this.context, (result) => {
        this.waiting.delete(waiting);
        request.signal.removeEventListener("abort", onAborted);
        if (isAnnounced) this.context.broadcast.announceWaitingEnd(request.requestId);
        resolve(result);
      });
      let isAnnounced = false;
      const onAborted = (): void =>
        waiting.settle(createRefusal("caller-gone", 0, this.waiting.size));
      request.signal.addEventListener("abort", onAborted, { once: true });
      this.waiting.add(waiting);
      this.scan();
      if (!this.waiting.has(waiting)) return;
      isAnnounced = true;
      this.context.broadcast.announceWaiting(waiting);
    });
  }

  /**
   * Starts the shutdown: refuses waiting and new generations that are not expected to end in time.
   *
   * @param closesAtMs - when callers' connections are closed, on this VM's monotonic clock
   */
  finishBy(closesAtMs: number): void {
    this.closesAtMs = closesAtMs;
    this.scan();
  }

  /** Lists the engines of a service that accept new runs, with their loads. */
  listCandidates(
    serviceName: string,
    avoidedIds: ReadonlySet<string>,
  ): readonly dispatch.EngineCandidate[] {
    const { context } = this;
    const traits = context.engineTraits(serviceName);
    if (traits === null) return [];
    const usable = context.directory
      .listAvailable(serviceName)
      .filter(({ entry }) => !avoidedIds.has(entry.id) && this.isUsable(entry));
    return usable.map((server) => this.createCandidate(server, traits));
  }

  /** Returns the traits of a service's engines; null for plain services. */
  traitsOf(serviceName: string): routing.EngineTraits | null {
    return this.context.engineTraits(serviceName);
  }

  /** Returns the sum of the claims on an engine. */
  loadOf(serverId: string): dispatch.EngineLoad {
    return this.context.claims.computeLoad(serverId);
  }

  /** Lists the runs of an engine that have to migrate when it leaves. */
  listRunsToMigrate(serverId: string): readonly dispatch.MigratingRun[] {
    return dispatch.listMigratingRuns(this.context.claims, serverId);
  }

  /** Finds a claim of this VM or another one. */
  findClaim(requestId: string, role: dispatch.ClaimRole): dispatch.Claim | undefined {
    return this.context.claims.find(requestId, role);
  }

  /** Adds or replaces a claim and announces it to the other VMs. */
  setClaim(claim: dispatch.Claim): void {
    this.context.claims.put(claim);
    this.context.broadcast.announceClaim(claim);
  }

  /** Records a run's produced tokens; the other VMs learn them from the next summary of claims. */
  recordProgress(requestId: string, producedTokens: number): void {
    const claim = this.context.claims.find(requestId, dispatch.ClaimRole.Run);
    if (claim !== undefined) this.context.claims.put({ ...claim, producedTokens });
  }

  /** Releases a claim and schedules a scan for generations that wait for its capacity. */
  releaseClaim(requestId: string, role: dispatch.ClaimRole): void {
    if (this.context.claims.find(requestId, role) === undefined) return;
    this.context.claims.release(requestId, role);
    this.context.broadcast.announceRelease(requestId, role);
    this.requestScan();
  }

  /** Returns how an engine's speed differs from the typical one of its service. */
  speedOf({ id, serviceName }: servers.ServerEntry): dispatch.EngineSpeed {
    const known = this.context.directory.listAll().map(({ entry }) => entry);
    const engines = known.filter((entry) => entry.serviceName === serviceName);
    return this.speeds.compare(serviceName, engines).get(id) ?? dispatch.TYPICAL_SPEED;
  }

  /**
   * Schedules a scan of the queue and coalesces all requests until it runs. At peak load, work
   * updates of other VMs arrive many times a second, and a scan of a long queue is expensive.
   */
  requestScan(): void {
    this.scheduleScan();
  }

  /** Scans the queue and places this VM's generations to which capacity is allocated. */
  scan(): void {
    const serviceNames = new Set([...this.waiting].map(({ serviceName }) => serviceName));
    for (const serviceName of serviceNames) this.scanService(serviceName);
    this.scheduleScan();
  }

  [Symbol.dispose](): void {
    this.scanTimer?.[Symbol.dispose]();
    for (const waiting of this.waiting) {
      waiting.settle(createRefusal("no-server", constants.DEFAULT_RETRY_AFTER_MS, 0));
    }
  }

  private scanService(serviceName: string): void {
    const local = [...this.waiting].filter((waiting) => waiting.serviceName === serviceName);
    const candidates = this.listCandidates(serviceName, new Set());
    const queue = scanQueues.scanQueue(this.context, serviceName, local, candidates);
    this.sharesByService.set(serviceName, queue.shares);
    const releaseTokensPerMs = this.context.claims.estimateReleaseRate();
    const isEvacuated = this.context.directory.isServiceEvacuated(serviceName);
    const { closesAtMs } = this;
    const nowMs = this.context.clock.nowMs();
    const waitContext = { nowMs, releaseTokensPerMs, isEvacuated, closesAtMs };
    for (const waiting of local) {
      const engine = queue.allocated.get(waiting);
      const refusal =
        decideWaits.refuseAtShutdown(waiting, engine, queue, waitContext) ??
        (engine === undefined
          ? decideWaits.refuseUnsatisfiable(waiting, queue, waitContext)
          : decideWaits.refuseTooLate(waiting, queue, waitContext));
      if (refusal !== null) waiting.settle(neverthrow.err(refusal));
      else if (engine !== undefined) this.placeOn(waiting, engine, queue);
    }
  }

  private placeOn(
    waiting: localWaitings.LocalWaitingGeneration,
    engine: dispatch.EngineCandidate,
    { candidates, ordered }: scanQueues.ScannedQueue,
  ): void {
    const { request } = waiting;
    const server = this.context.directory.find(engine.serverId);
    // One scan may allocate several generations to an engine that takes only one at a time.
    if (server === undefined || !this.isUsable(server.entry)) return;
    const typicalEngine = { ...engine, slownessRatio: 1 };
    this.context.backpressure.reserve(server.entry);
    this.setClaim(createClaims.createClaim(request, engine.serverId, this.context.vmName));
    waiting.settle(
      neverthrow.ok({
        server,
        expectedFirstEventMs: dispatch.estimateFirstEvent(request.need, engine),
        nominalFirstEventMs: dispatch.estimateFirstEvent(request.need, typicalEngine),
        waitedMs: this.context.clock.nowMs() - waiting.enqueuedAtMs,
        candidatesCount: candidates.length,
        queuedCount: ordered.length,
      }),
    );
  }

  private createCandidate(
    server: servers.KnownServer,
    traits: routing.EngineTraits,
  ): dispatch.EngineCandidate {
    const { entry } = server;
    const speed = this.speedOf(entry);
    const isPartitioned = this.context.trust.isPartitionSuspected(entry.dataCentre);
    this.cutRisk.record(entry.dataCentre, isPartitioned);
    const targetGapMs = this.context.targetGapMs?.(entry.serviceName) ?? null;
    return {
      ...this.context.claims.computeLoad(entry.id, speed.readingRatio),
      serverId: entry.id,
      dataCentre: entry.dataCentre,
      memoryTokens: traits.memoryTokens,
      transferTokensPerMs: dispatch.estimateTransferRate(traits.transferTokensPerMs),
      slotsCount: entry.slotsCount,
      coldRemainingMs: servers.coldRemainingMs(server, this.context.clock.nowMs()),
      failureRatio: this.context.trust.failureRatio(entry.id),
      isPartitioned,
      cutRiskRatio: this.cutRisk.ratioOf(entry.dataCentre),
      slownessRatio: speed.readingRatio,
      writingRatio: speed.writingRatio,
      smoothRunsCount: dispatch.countSmoothRuns(speed, targetGapMs),
    };
  }

  private isUsable(entry: servers.ServerEntry): boolean {
    const { trust, backpressure } = this.context;
    return !trust.isSuspended(entry.id) && backpressure.delayMs(entry) === 0;
  }

  private scheduleScan(): void {
    if (this.waiting.size === 0 || this.scanTimer !== null) return;
    this.scanTimer = this.context.clock.schedule(constants.QUEUE_SCAN_INTERVAL_MS, () => {
      this.scanTimer = null;
      this.scan();
    });
  }
}

function createRefusal(
  kind: types.PlacementRefusal["kind"],
  expectedWaitMs: number,
  queuedCount: number,
): neverthrow.Result<never, types.PlacementRefusal> {
  return neverthrow.err({ kind, expectedWaitMs, queuedCount });
}
