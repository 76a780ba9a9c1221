import "reflect-metadata";

import * as tsyringe from "tsyringe";
import * as zod from "zod";

import type * as clocks from "../../_lib/clock/index.js";
import type * as logging from "../../_lib/logger/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as backends from "../../backends/types.js";
import * as backendTypes from "../../backends/types.js";
import * as catalogue from "../../catalogue/index.js";
import * as engines from "../../engines/index.js";
import * as fleet from "../../fleet/index.js";
import type * as peers from "../../peers/types.js";
import type * as platform from "../../controlPlane/types.js";
import * as replication from "../../replication/index.js";
import type * as telemetry from "../../telemetry/types.js";
import * as constants from "../constants.js";
import * as demands from "../listModelDemands/index.js";
import * as placementEngines from "../toPlacementEngines/index.js";
import type * as types from "../types.js";

const { TOKENS } = tokens;

const REPORT_SCHEMA = zod.object({
  engines: zod.array(
    zod.object({
      name: zod.string(),
      loadedModels: zod.array(
        zod.object({
          model: zod.string(),
          version: zod.string(),
          adapters: zod.array(zod.string()),
        }),
      ),
      isStaying: zod.boolean(),
      runningCounts: zod.record(zod.string(), zod.number()),
    }),
  ),
  waitingCounts: zod.record(zod.string(), zod.number()),
});

/** Gives this VM's part of what placement needs to know. */
export type ReportPlacement = () => types.PlacementReport;

/**
 * Keeps the models of a data centre's engines as the catalogue and the demand want them. One VM of
 * the data centre holds the placement lease; the others stand by.
 */
@tsyringe.injectable()
export class Placement implements AsyncDisposable {
  private readonly stop = new AbortController();
  private readonly demand = new Map<string, number>();
  private pending: types.PendingLoad[] = [];
  private task: Promise<void> = Promise.resolve();
  private report: ReportPlacement = () => ({ engines: [], waitingCounts: {} });

  constructor(
    @tsyringe.inject(TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(TOKENS.logger) private readonly logger: logging.Logger,
    @tsyringe.inject(TOKENS.metrics) private readonly metrics: telemetry.Metrics,
    @tsyringe.inject(TOKENS.peerNetwork) private readonly peerNetwork: peers.PeerNetwork,
    @tsyringe.inject(TOKENS.fleetView) private readonly fleetView: fleet.FleetView,
    @tsyringe.inject(TOKENS.catalogueView) private readonly view: catalogue.CatalogueView,
    @tsyringe.inject(TOKENS.engineClients) private readonly clients: backends.EngineClients,
    @tsyringe.inject(TOKENS.weightStore) private readonly weightStore: platform.WeightStore,
    @tsyringe.inject(fleet.LeaseHolder) private readonly leases: fleet.LeaseHolder,
  ) {}

  /**
   * Starts to stand by for the lease.
   *
   * @param report - what this VM, as the home of engines, knows of them
   */
  start(report: ReportPlacement): void {
    this.report = report;
    this.peerNetwork.register(constants.REPORT_METHOD, () => this.report());
    this.task = this.run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      if (this.isFirstCandidate() && this.hasManagedEngines()) await this.holdLease();
      await this.pause();
    }
  }

  /** One candidate at a time asks for the lease, so that standing by costs the log nothing. */
  private isFirstCandidate(): boolean {
    const { self } = this.fleetView;
    const candidates = this.fleetView
      .members()
      .filter(({ dataCentre, state }) => dataCentre === self.dataCentre && isLive(state));
    return fleet.firstByRendezvous(`placement/${self.dataCentre}`, candidates)?.name === self.name;
  }

  private hasManagedEngines(): boolean {
    const { dataCentre } = this.fleetView.self;
    return catalogue
      .listEngines(this.view.current())
      .some((engine) => engine.dataCentre === dataCentre && engine.modelSlotsCount !== undefined);
  }

  private async holdLease(): Promise<void> {
    const { dataCentre } = this.fleetView.self;
    const held = await this.leases.withLease(dataCentre, async (fencingNumber, isStillHeld) => {
      this.logger.info({ dataCentre, fencingNumber }, "placement lease held");
      while (isStillHeld() && this.isFirstCandidate() && !this.stop.signal.aborted) {
        await this.planOnce(fencingNumber, isStillHeld);
        await this.pause();
      }
      this.logger.info({ dataCentre, fencingNumber }, "placement lease given back");
    });
    if (held.isErr()) this.metrics.increment("placement.lease_refused");
  }

  private async planOnce(fencingNumber: number, isStillHeld: fleet.IsStillHeld): Promise<void> {
    const reports = await this.gatherReports();
    const status = await this.weightStore.status();
    this.learnDemand(reports);
    const engineReports = reports.flatMap((report) => report.engines);
    this.forgetSettledLoads(engineReports);
    const state = this.view.current();
    const { dataCentre } = this.fleetView.self;
    const orders = engines.planPlacement(
      placementEngines.toPlacementEngines(state, dataCentre, engineReports, this.pending),
      demands.listModelDemands(state, this.demand),
      { fencingNumber, loadsAvailableCount: status.isOk() ? status.value.loadsAvailableCount : 0 },
    );
    for (const order of orders) await this.giveOrder(order, isStillHeld);
  }

  private async giveOrder(
    { engineName, order, reason }: engines.PlacementOrder,
    isStillHeld: fleet.IsStillHeld,
  ): Promise<void> {
    const engine = catalogue
      .listEngines(this.view.current())
      .find((candidate) => candidate.name === engineName);
    // An engine that checks no fencing number relies on the holder's own look at its time left.
    if (engine === undefined || !isStillHeld(constants.ORDER_MARGIN_MS)) return;
    const result = await this.clients.clientFor(engine).order(order);
    const outcome = result.isOk() ? "taken" : "refused";
    this.metrics.increment("placement.orders", 1, { kind: order.kind, outcome });
    this.logger.info({ engine: engineName, order, reason, outcome }, "placement order");
    if (result.isOk()) this.notePending(engineName, order);
  }

  private notePending(engineName: string, order: backends.EngineOrder): void {
    if (order.kind !== backendTypes.OrderKind.LoadModel) return;
    this.pending.push({
      engineName,
      model: order.model ?? "",
      version: order.version ?? "",
      adapter: order.adapter ?? null,
      orderedAtMs: this.clock.nowMs(),
    });
  }

  private forgetSettledLoads(reports: readonly types.EngineReport[]): void {
    const oldestMs = this.clock.nowMs() - constants.LOAD_PATIENCE_MS;
    this.pending = this.pending.filter(
      (load) => load.orderedAtMs >= oldestMs && !placementEngines.isLoadDone(load, reports),
    );
  }

  private learnDemand(reports: readonly types.PlacementReport[]): void {
    const current = new Map<string, number>();
    const add = (counts: Readonly<Record<string, number>>): void => {
      for (const [key, count] of Object.entries(counts)) {
        current.set(key, (current.get(key) ?? 0) + count);
      }
    };
    for (const report of reports) {
      add(report.waitingCounts);
      for (const engine of report.engines) add(engine.runningCounts);
    }
    for (const key of new Set([...current.keys(), ...this.demand.keys()])) {
      const known = this.demand.get(key) ?? 0;
      const change = (current.get(key) ?? 0) - known;
      this.demand.set(key, known + constants.DEMAND_SMOOTHING * change);
    }
  }

  private async gatherReports(): Promise<readonly types.PlacementReport[]> {
    const { self } = this.fleetView;
    const others = this.fleetView
      .members()
      .filter(
        ({ name, dataCentre, state }) =>
          name !== self.name && dataCentre === self.dataCentre && isLive(state),
      );
    const answers = await replication.mapConcurrently(others, ({ name }) =>
      this.peerNetwork.call(name, constants.REPORT_METHOD, null, {
        timeoutMs: constants.REPORT_TIMEOUT_MS,
      }),
    );
    const reports = answers.flatMap((answer) => {
      const checked = REPORT_SCHEMA.safeParse(answer.isOk() ? answer.value : null);
      return checked.success ? [checked.data] : [];
    });
    return [this.report(), ...reports];
  }

  private pause(): Promise<void> {
    return this.clock.sleep(constants.PLAN_INTERVAL_MS, this.stop.signal).catch(() => undefined);
  }
}

function isLive(state: fleet.MemberState): boolean {
  return state === fleet.MemberState.Live;
}
