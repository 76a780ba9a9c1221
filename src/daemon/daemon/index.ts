import type * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as logging from "../../_lib/logger/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import * as accounts from "../../accounts/index.js";
import * as calls from "../../calls/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as fleet from "../../fleet/index.js";
import * as generations from "../../generations/index.js";
import * as http from "../../http/index.js";
import * as peers from "../../peers/index.js";
import * as replication from "../../replication/index.js";
import type * as settings from "../../settings/index.js";
import * as telemetry from "../../telemetry/index.js";
import * as placement from "../../placement/index.js";
import type * as platform from "../../controlPlane/types.js";
import * as adminHandlers from "../adminHandlers/index.js";
import * as constants from "../constants.js";
import * as findLeavingBackends from "../findLeavingBackends/index.js";
import * as seededVmLists from "../seededVmList/index.js";
import * as listeners from "../_lib/openListeners.js";
import * as renewal from "../_lib/renewCertificates.js";
import * as startWaits from "../_lib/startWaits.js";

const { TOKENS } = tokens;

/** The daemon of one VM: starts its parts in dependency order and closes them in reverse. */
export class Daemon implements AsyncDisposable {
  readonly catalogue: catalogue.CatalogueReplica;
  readonly generations: generations.Generations;
  readonly membership: fleet.FleetMembership;
  private readonly calls: calls.Calls;
  private readonly limits: accounts.AccountLimits;
  private readonly clock: clocks.Clock;
  private readonly logger: logging.Logger;
  private readonly placement: placement.Placement;
  private readonly adminHandlers: adminHandlers.AdminHandlers;
  private readonly stopController = new AbortController();
  private ports: listeners.Listeners | undefined;
  private isLeaving = false;
  private wasReady = false;

  /** Creates the parts without starting them. */
  constructor(
    private readonly options: settings.Settings,
    private readonly container: tsyringe.DependencyContainer,
    private readonly store: disposableStore.DisposableStore,
    private readonly waits: startWaits.StartWaits = startWaits.NO_WAITS,
  ) {
    this.clock = container.resolve(TOKENS.clock);
    this.logger = container.resolve(TOKENS.logger);
    this.membership = container.resolve(fleet.FleetMembership);
    this.catalogue = container.resolve(catalogue.CatalogueReplica);
    this.limits = store.add(container.resolve(accounts.AccountLimits));
    this.calls = store.add(container.resolve(calls.Calls));
    this.generations = store.add(container.resolve(generations.Generations));
    this.placement = store.add(container.resolve(placement.Placement));
    this.adminHandlers = store.add(this.createAdminHandlers());
    container
      .resolve(seededVmLists.SeededVmList)
      .onListed((listed) => this.markLeavingBackends(listed));
  }

  /** URL of the callers' port; empty before the start. */
  get callerUrl(): string {
    return this.ports?.callers.url ?? "";
  }

  /** URL of the operators' port; empty before the start. */
  get adminUrl(): string {
    return this.ports?.admin.url ?? "";
  }

  /** Starts the parts, then opens the callers' and the operators' port. */
  async start(): Promise<void> {
    const { peerAddress: host, peerPort: port } = this.options.vm;
    const network = this.container.resolve(peers.TcpPeerNetwork);
    await this.waits.bind("peers", { host, port }, () => network.listen());
    this.membership.start();
    this.catalogue.start();
    this.limits.start();
    this.calls.start();
    this.generations.start();
    this.placement.start(() => this.reportPlacement());
    this.ports = await listeners.openListeners(
      this.options,
      this.createCallerServerParts(),
      this.adminHandlers,
      this.waits,
    );
    this.store.add(this.ports.callers);
    this.store.add(this.ports.admin);
    this.renewCertificates(this.ports.renewable);
    this.logger.info({ callers: this.callerUrl, admin: this.adminUrl }, "daemon started");
  }

  /** Returns whether the balancer may send requests to this VM, and if not, the reason. */
  readiness(): http.Readiness {
    const reason = this.findUnreadyReason();
    const isReady = reason === null;
    if (isReady !== this.wasReady) {
      this.wasReady = isReady;
      this.logger.info({ reason: reason ?? "ready" }, isReady ? "ready" : "not ready");
    }
    return { isReady, reason: reason ?? "ready" };
  }

  /** Describes the work that would be lost if this VM stopped now; empty if there is none. */
  describeHeld(): string {
    const held = this.generations.describeHeld();
    const counts = [
      `${held.runningCount} running and ${held.waitingCount} waiting generations`,
      `${held.engineRunsCount} runs on engines`,
    ];
    const isEmpty = held.runningCount + held.waitingCount + held.engineRunsCount === 0;
    return isEmpty ? "" : counts.join(", ");
  }

  /**
   * Shuts down gracefully: reports not ready, waits `balancerNoticeMs` for the balancer to stop
   * sending requests, leaves the fleet, finishes or hands over the work that this VM holds, and answers
   * the callers that are still connected.
   *
   * @returns whether no work is left after the grace period at the latest; false at once if the
   * shutdown has already begun
   */
  async leave(): Promise<boolean> {
    if (this.isLeaving) return false;
    this.isLeaving = true;
    const { balancerNoticeMs, graceMs } = this.options.shutdown;
    this.logger.info({ graceMs }, "leaving");
    await this.clock.sleep(balancerNoticeMs);
    const graceEndsAtMs = this.clock.nowMs() + graceMs;
    this.membership.leave();
    await replication.waitAtMost(this.clock, graceMs, this.generations.drain());
    const isComplete = this.describeHeld() === "";
    // Plain calls are not among the held work, and the last answers may still be on their way.
    const graceLeftMs = graceEndsAtMs - this.clock.nowMs();
    await this.ports?.callers.finish(Math.max(constants.FINAL_ANSWERS_MS, graceLeftMs));
    return isComplete;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stopController.abort();
    await this.store[Symbol.asyncDispose]();
  }

  private findUnreadyReason(): string | null {
    if (this.isLeaving) return "this VM is leaving";
    if (!this.catalogue.isReady) return "the catalogue has not been loaded yet";
    const self = this.membership.members().find((member) => member.name === this.options.vm.name);
    if (self?.state === fleet.MemberState.Leaving) return "this VM is leaving";
    if (self?.state !== fleet.MemberState.Live) return "this VM has not joined the fleet yet";
    if (this.isDraining()) return "an operator is draining this VM";
    return null;
  }

  private isDraining(): boolean {
    const key = `${catalogue.ItemKind.Vm}/${this.options.vm.name}`;
    const item = this.catalogue.current().items.get(key)?.item;
    return item?.kind === catalogue.ItemKind.Vm && item.state === catalogue.DesiredState.Draining;
  }

  /**
   * Marks the backend servers on VMs that the platform lists as leaving. The mark stays when a
   * later list reports such a VM as live, because the platform's list may lag.
   */
  private markLeavingBackends(listed: readonly platform.ListedVm[]): void {
    const state = this.catalogue.current();
    for (const backend of findLeavingBackends.findLeavingBackends(state, listed)) {
      if (backend.kind === catalogue.ItemKind.Engine)
        this.generations.markEngineLeaving(backend.name);
      else this.calls.markLeaving(backend.name);
    }
  }

  private reportPlacement(): placement.PlacementReport {
    const { generations: service } = this;
    return placement.createReport(
      this.catalogue.current(),
      service.describeEngines(),
      service.describeQueue(),
    );
  }

  private createCallerServerParts(): http.CallerServerParts {
    return {
      clock: this.clock,
      metrics: this.container.resolve(TOKENS.metrics),
      tracer: this.container.resolve(TOKENS.tracer),
      catalogue: this.catalogue,
      limiter: this.limits,
      generations: this.generations,
      calls: this.calls,
      readiness: () => this.readiness(),
      createRequestId: () => this.generations.createRequestId(),
    };
  }

  private createAdminHandlers(): adminHandlers.AdminHandlers {
    return new adminHandlers.AdminHandlers({
      clock: this.clock,
      fleetView: this.membership,
      peerNetwork: this.container.resolve(TOKENS.peerNetwork),
      catalogue: this.catalogue,
      generations: this.generations,
      calls: this.calls,
      tracer: this.container.resolve(TOKENS.tracer),
      burn: this.container.resolve(telemetry.BurnRecorder),
      hub: this.container.resolve(TOKENS.metrics),
      readiness: () => this.readiness(),
    });
  }

  private renewCertificates(renewable: readonly renewal.RenewableListener[]): void {
    const parts = {
      clock: this.clock,
      logger: this.logger,
      metrics: this.container.resolve<telemetry.Metrics>(TOKENS.metrics),
    };
    for (const listener of renewable) {
      void renewal.renewCertificates(listener, parts, this.stopController.signal);
    }
  }
}
