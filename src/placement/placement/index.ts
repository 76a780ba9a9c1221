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

/** Function that creates this VM's report for placement. */
export type PlacementReportSource = () => types.PlacementReport;

/**
 * Loads and unloads models on a data centre's engines according to the catalogue and the demand.
 * Only the VM that holds the data centre's placement lease sends orders; the others only answer its
 * report requests.
 */
@tsyringe.injectable()
export class Placement implements AsyncDisposable {
  private readonly stop = new AbortController();
  /** Moving average of running and waiting generations, by `model/version`. */
  private readonly demandByModel = new Map<string, number>();
  private pendingLoads: types.PendingLoad[] = [];
  private task: Promise<void> = Promise.resolve();
  /** Creates this VM's report; empty until `start` sets it. */
  private report: PlacementReportSource = () => ({ engines: [], waitingCounts: {} });

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
   * Starts to answer report requests and to compete for the lease.
   *
   * @param report - creates this VM's report on the engines whose home it is
   */
  start(report: PlacementReportSource): void {
    this.report = report;
    this.peerNetwork.register(constants.REPORT_METHOD, () => this.report());
    this.task = this.run();
  }

  /** Stops planning, and waits until the current plan has ended. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort();
    await this.task;
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      if (this.isPreferredHolder() && this.hasManagedEngines()) await this.holdLease();
      await this.pause();
    }
  }

  /**
   * Whether this VM is the only one of its data centre that requests the lease, by rendezvous
   * hashing, so that the others append nothing to the log.
   */
  private isPreferredHolder(): boolean {
    const { self } = this.fleetView;
    const candidates = this.fleetView
      .members()
      .filter(({ dataCentre, state }) => dataCentre === self.dataCentre && isLive(state));
    return (
      fleet.selectFirstByRendezvous(`placement/${self.dataCentre}`, candidates)?.name === self.name
    );
  }

  private hasManagedEngines(): boolean {
    const { dataCentre } = this.fleetView.self;
    return catalogue
      .listEngines(this.view.current())
      .some((engine) => engine.dataCentre === dataCentre && engine.modelSlotsCount !== undefined);
  }

  private async holdLease(): Promise<void> {
    const { dataCentre } = this.fleetView.self;
    const leaseResult = await this.leases.withLease(
      dataCentre,
      async (fencingNumber, isStillHeld) => {
        this.logger.info({ dataCentre, fencingNumber }, "placement lease acquired");
        while (isStillHeld() && this.isPreferredHolder() && !this.stop.signal.aborted) {
          await this.planOnce(fencingNumber, isStillHeld);
          await this.pause();
        }
        this.logger.info({ dataCentre, fencingNumber }, "placement lease released");
      },
    );
    if (leaseResult.isErr()) this.metrics.increment("placement.lease_refused");
  }

  private async planOnce(fencingNumber: number, isStillHeld: fleet.IsStillHeld): Promise<void> {
    const reports = await this.collectReports();
    const status = await this.weightStore.status();
    this.updateDemand(reports);
    const engineReports = reports.flatMap((report) => report.engines);
    this.removeSettledLoads(engineReports);
    const state = this.view.current();
    const { dataCentre } = this.fleetView.self;
    const orders = engines.planPlacement(
      placementEngines.toPlacementEngines(state, dataCentre, engineReports, this.pendingLoads),
      demands.listModelDemands(state, this.demandByModel),
      { fencingNumber, loadsAvailableCount: status.isOk() ? status.value.loadsAvailableCount : 0 },
    );
    for (const order of orders) await this.sendOrder(order, isStillHeld);
  }

  private async sendOrder(
    { engineName, order, reason }: engines.PlacementOrder,
    isStillHeld: fleet.IsStillHeld,
  ): Promise<void> {
    const engine = catalogue
      .listEngines(this.view.current())
      .find((candidate) => candidate.name === engineName);
    // Protects engines that check no fencing number from orders that arrive after the lease expires.
    if (engine === undefined || !isStillHeld(constants.ORDER_DELIVERY_MARGIN_MS)) return;
    const result = await this.clients.clientFor(engine).order(order);
    const outcome = result.isOk() ? "taken" : "refused";
    this.metrics.increment("placement.orders", 1, { kind: order.kind, outcome });
    this.logger.info({ engine: engineName, order, reason, outcome }, "placement order sent");
    if (result.isOk()) this.recordPendingLoad(engineName, order);
  }

  private recordPendingLoad(engineName: string, order: backends.EngineOrder): void {
    if (order.kind !== backendTypes.OrderKind.LoadModel) return;
    this.pendingLoads.push({
      engineName,
      model: order.model ?? "",
      version: order.version ?? "",
      adapter: order.adapter ?? null,
      orderedAtMs: this.clock.nowMs(),
    });
  }

  private removeSettledLoads(reports: readonly types.EngineReport[]): void {
    const oldestMs = this.clock.nowMs() - constants.LOAD_TIMEOUT_MS;
    this.pendingLoads = this.pendingLoads.filter(
      (load) => load.orderedAtMs >= oldestMs && !placementEngines.isLoadDone(load, reports),
    );
  }

  private updateDemand(reports: readonly types.PlacementReport[]): void {
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
    for (const key of new Set([...current.keys(), ...this.demandByModel.keys()])) {
      const known = this.demandByModel.get(key) ?? 0;
      const change = (current.get(key) ?? 0) - known;
      this.demandByModel.set(key, known + constants.NEWEST_DEMAND_WEIGHT * change);
    }
  }

  private async collectReports(): Promise<readonly types.PlacementReport[]> {
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

  /** Waits for the interval between two plans, or until this VM stops. */
  private pause(): Promise<void> {
    return this.clock.sleep(constants.PLAN_INTERVAL_MS, this.stop.signal).catch(() => undefined);
  }
}

function isLive(state: fleet.MemberState): boolean {
  return state === fleet.MemberState.Live;
}
