import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as loggers from "../../_lib/logger/index.js";
import type * as randoms from "../../_lib/random/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as backends from "../../backends/types.js";
import type * as catalogue from "../../catalogue/types.js";
import * as engines from "../../engines/index.js";
import type * as fleet from "../../fleet/types.js";
import * as fleetTypes from "../../fleet/types.js";
import type * as peers from "../../peers/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as callerMeasures from "../_lib/callerMeasures/index.js";
import type * as contexts from "../_lib/context/index.js";
import * as drains from "../_lib/drain/index.js";
import * as errors from "../_lib/errors/index.js";
import * as descriptions from "../_lib/descriptions/index.js";
import * as homeHandlers from "../_lib/homeHandlers/index.js";
import * as standbyHandlers from "../_lib/standbyHandlers/index.js";
import * as lengthExchanges from "../_lib/lengthExchange/index.js";
import * as locators from "../_lib/locator/index.js";
import type * as messages from "../_lib/messages/index.js";
import * as ownerLossMonitors from "../_lib/ownerLossMonitor/index.js";
import * as ownerHandlers from "../_lib/ownerHandlers/index.js";
import * as peerLinks from "../_lib/peerLink/index.js";
import * as readers from "../_lib/reader/index.js";
import * as schedulers from "../_lib/createSchedulerFactory/index.js";
import * as viewPublishers from "../_lib/viewPublisher/index.js";
import * as views from "../_lib/engineViews/index.js";
import * as constants from "../constants.js";
import * as requestIds from "../createRequestId/index.js";
import * as selectStandbys from "../selectStandby/index.js";
import type * as types from "../types.js";

/** The generation service; its generations survive failures of engines, VMs and connections. */
@tsyringe.injectable()
export class Generations implements types.GenerationService, AsyncDisposable {
  private readonly context: contexts.GenerationContext;
  private readonly roles: locators.RoleHandlers;
  private readonly views: views.EngineViews;
  private readonly lengths: lengthExchanges.LengthExchange;
  private readonly viewPublisher: viewPublishers.ViewPublisher;
  private readonly locator: locators.Locator;
  private readonly ownerLossMonitor: ownerLossMonitors.OwnerLossMonitor;
  private readonly drainer: drains.Drain;
  private isDraining = false;
  private readonly reader: readers.Reader;
  private readonly resources = new disposableStore.DisposableStore();
  private readonly stopping = new AbortController();

  constructor(
    @tsyringe.inject(tokens.TOKENS.clock) clock: clocks.Clock,
    @tsyringe.inject(tokens.TOKENS.random) random: randoms.RandomSource,
    @tsyringe.inject(tokens.TOKENS.logger) logger: loggers.Logger,
    @tsyringe.inject(tokens.TOKENS.metrics) metrics: telemetry.Metrics,
    @tsyringe.inject(tokens.TOKENS.tracer) tracer: telemetry.Tracer,
    @tsyringe.inject(tokens.TOKENS.peerNetwork) peerNetwork: peers.PeerNetwork,
    @tsyringe.inject(tokens.TOKENS.fleetView) fleetView: fleet.FleetView,
    @tsyringe.inject(tokens.TOKENS.catalogueView) catalogueView: catalogue.CatalogueView,
    @tsyringe.inject(tokens.TOKENS.engineClients) engineClients: backends.EngineClients,
  ) {
    const link = this.resources.add(new peerLinks.PeerLink(fleetView.self.name, peerNetwork));
    const lengths = new engines.LengthLearner();
    this.context = {
      clock,
      random,
      logger,
      metrics,
      tracer,
      link,
      fleet: fleetView,
      catalogue: catalogueView,
      engineClients,
      createScheduler: schedulers.createSchedulerFactory(catalogueView, lengths),
    };
    this.lengths = new lengthExchanges.LengthExchange(this.context, lengths);
    this.views = new views.EngineViews(this.context);
    this.viewPublisher = new viewPublishers.ViewPublisher(this.context);
    const owner = this.resources.add(new ownerHandlers.OwnerHandlers(this.context, this.views));
    const standby = new standbyHandlers.StandbyHandlers(this.context, (requestId) =>
      owner.findRecord(requestId),
    );
    const home = this.resources.add(new homeHandlers.HomeHandlers(this.context));
    this.roles = { owner, standby, home };
    this.locator = new locators.Locator(this.context, this.roles);
    this.ownerLossMonitor = new ownerLossMonitors.OwnerLossMonitor(
      this.context,
      this.roles,
      this.locator,
    );
    this.drainer = new drains.Drain(this.context, this.roles, this.locator);
    this.reader = new readers.Reader(this.context, this.roles, this.locator);
  }

  /** Registers the message handlers, and starts the periodic checks and reports. */
  start(): void {
    this.views.start();
    this.lengths.start();
    this.roles.owner.start();
    this.roles.standby.start();
    this.roles.home.start();
    this.locator.start();
    this.drainer.start();
    this.reader.start();
    void this.repeat(constants.TIMEOUT_CHECK_INTERVAL_MS, () => this.checkTimeouts());
    void this.repeat(constants.WAITING_REPORT_INTERVAL_MS, () =>
      this.roles.owner.waiting.reportWaiting(),
    );
    void this.repeat(constants.LENGTHS_CHECK_INTERVAL_MS, () => this.lengths.exchange());
    void this.repeat(constants.VIEW_CHECK_INTERVAL_MS, () => this.publishViews());
  }

  /** Creates the id of a new request, with hints of its owner and its standby. */
  createRequestId(): string {
    const { fleet: fleetView, clock, random } = this.context;
    const ownerVm = fleetView.self.name;
    const id = { wallTimeMs: clock.wallTimeMs(), random, ownerVm };
    const seed = String(random.next());
    const standbyVm = selectStandbys.selectStandby(seed, fleetView.self, fleetView.members());
    return requestIds.createRequestId({ ...id, standbyVm });
  }

  async submit(
    request: types.GenerationRequest,
  ): Promise<neverthrow.Result<types.GenerationHandle, stepError.StepError>> {
    const refusal = this.checkAcceptance(request);
    if (refusal !== null) return neverthrow.err(refusal);
    const generation = this.roles.owner.takeOwnership(this.createSnapshot(request));
    const { record } = generation;
    await this.roles.owner.replicator.replicate(record);
    await generation.firstPlacementOutcome;
    if (record.failure === null || record.tokens.length > 0) {
      return neverthrow.ok(this.createHandle(request.requestId, request.accountName));
    }
    this.roles.owner.forget(request.requestId);
    const { message, code, step, retryAfterMs } = record.failure;
    return neverthrow.err(errors.createRefusal(message, code, step, retryAfterMs));
  }

  async attach(
    requestId: string,
    accountName: string,
  ): Promise<neverthrow.Result<types.GenerationHandle, stepError.StepError>> {
    const record = this.roles.owner.findRecord(requestId);
    const holders = record === null ? await this.locator.locate(requestId) : [];
    const recordedAccountName = record?.request.accountName ?? holders[0]?.answer.accountName;
    if (recordedAccountName !== accountName)
      return neverthrow.err(errors.createNotFound(requestId));
    return neverthrow.ok(this.createHandle(requestId, accountName, holders));
  }

  /**
   * Marks an engine as leaving, e.g. because the platform's list reports it. The mark is never
   * removed, whatever other sources report; this VM sends the engine no new work.
   */
  markEngineLeaving(engineName: string): void {
    this.views.markLeaving(engineName);
    this.roles.home.markEngineLeaving(engineName);
  }

  /** Stops accepting requests; resolves once everything held is finished or handed over. */
  async drain(): Promise<void> {
    this.isDraining = true;
    await this.drainer.run(this.stopping.signal);
  }

  /** Counts the generations, runs and replicas that this VM holds. */
  describeHeld(): types.HeldSummary {
    return descriptions.describeHeld(this.roles);
  }

  /** Describes the engines whose home this VM is, with their runs. */
  describeEngines(): readonly types.EngineStatus[] {
    return descriptions.describeEngines(this.roles, this.context.clock.nowMs());
  }

  /** Describes the generations that wait at this VM, with the reasons. */
  describeQueue(): readonly types.WaitingGeneration[] {
    return descriptions.describeQueue(this.roles, this.context.clock.nowMs());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopping.abort();
    await this.resources[Symbol.asyncDispose]();
  }

  private createHandle(
    requestId: string,
    accountName: string,
    located: readonly locators.LocatedHolder[] = [],
  ): types.GenerationHandle {
    const generation = this.roles.owner.find(requestId);
    const { clock, metrics } = this.context;
    const measures =
      generation &&
      new callerMeasures.CallerMeasures(
        clock,
        metrics,
        generation.record.request.entry.name,
        generation.acceptedAtMs,
      );
    return {
      requestId,
      readFrames: (fromOffset, signal) =>
        this.reader.frames({ requestId, accountName, fromOffset }, located, measures, signal),
    };
  }

  private createSnapshot(request: types.GenerationRequest): messages.GenerationSnapshot {
    return {
      request: request,
      ownerVm: this.context.link.selfName,
      keeperVm: this.findHintedStandby(request.requestId),
      attempt: 0,
      samplingAttempt: 1,
      tokens: [],
      suspensionsCount: 0,
      finishReason: null,
      run: null,
    };
  }

  private findHintedStandby(requestId: string): string | null {
    const hints = requestIds.parseRequestHints(requestId);
    const member = this.context.fleet
      .members()
      .find(
        (candidate) =>
          candidate.state === fleetTypes.MemberState.Live &&
          candidate.name !== this.context.link.selfName &&
          requestIds.computeVmHint(candidate.name) === hints?.standbyHint,
      );
    return member?.name ?? null;
  }

  private checkAcceptance(request: types.GenerationRequest): stepError.StepError | null {
    if (this.roles.owner.find(request.requestId) !== null) {
      const message = `request ${request.requestId} is known already`;
      return errors.createRefusal(message, stepError.ErrorCode.Conflict, "generation.submit");
    }
    if (this.isDraining) {
      const code = stepError.ErrorCode.ShuttingDown;
      return errors.createRefusal(
        `VM ${this.context.link.selfName} is shutting down`,
        code,
        "generation.submit",
        0,
      );
    }
    if (request.deadlineAtWallMs <= this.context.clock.wallTimeMs()) {
      const message = `the deadline of request ${request.requestId} has passed`;
      const code = stepError.ErrorCode.DeadlineExceeded;
      return errors.createRefusal(message, code, "generation.submit");
    }
    const waiting = this.roles.owner
      .list()
      .filter((held) => held.isWaiting && held.record.request.entry.name === request.entry.name);
    if (waiting.length < request.entry.maxWaitingCount) return null;
    const message = `${waiting.length} requests of entry ${request.entry.name} wait; the limit is ${request.entry.maxWaitingCount}`;
    return errors.createRefusal(message, stepError.ErrorCode.Overloaded, "generation.submit");
  }

  private checkTimeouts(): void {
    const nowMs = this.context.clock.nowMs();
    this.roles.owner.checkTimeouts(nowMs);
    this.roles.home.checkTimeouts(nowMs);
    this.roles.standby.expire(nowMs);
    this.ownerLossMonitor.checkOwners(nowMs);
  }

  private publishViews(): void {
    const nowMs = this.context.clock.nowMs();
    const localViews = this.roles.home.listHomes().map((home) => home.createView(nowMs));
    this.viewPublisher.publish(localViews, this.views.list());
  }

  private async repeat(intervalMs: number, action: () => void): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      action();
      await this.context.clock.sleep(intervalMs, signal).catch(() => undefined);
    }
  }
}
