import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import type * as random from "../../../_lib/random/index.js";
import type * as backends from "../../../backends/types.js";
import * as catalogue from "../../../catalogue/index.js";
import type * as fleet from "../../../fleet/types.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";

/** Dependencies of `ServerPool`. */
export interface PoolDependencies {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly fleetView: fleet.FleetView;
  readonly catalogueView: catalogue.CatalogueView;
  readonly serviceClients: backends.ServiceClients;
}

/** A server acquired for one attempt. */
export interface AcquiredServer {
  readonly backend: catalogue.ServiceBackend;
  readonly client: backends.ServiceClient;
  /** Reports whether the server answered; only the first report of an attempt counts. */
  recordResult(hasAnswered: boolean): void;
}

interface ServerHealth {
  failuresCount: number;
  ejectionsCount: number;
  ejectedUntilMs: number;
  isProbing: boolean;
  inFlightCount: number;
  /** Revision of the server's catalogue item when it was marked as leaving; null if it is not. */
  leavingAtRevision: number | null;
}

/** Servers of plain services: selects a server for each attempt and ejects failing servers. */
export class ServerPool implements Disposable {
  private readonly healthByName = new Map<string, ServerHealth>();
  private readonly subscription: Disposable;

  constructor(private readonly dependencies: PoolDependencies) {
    this.subscription = dependencies.catalogueView.onChange((state) =>
      this.deleteRemovedServers(state),
    );
  }

  /**
   * Acquires a server for one attempt, preferring this data centre, then the fewest calls in
   * flight. An ejected server is selected only as a probe, or if no other server is usable.
   *
   * @param triedNames - names of servers that the request has been sent to before; they are
   *   excluded
   * @param options - `isSecondAttempt` for an attempt parallel to a running one: excludes servers
   *   that are ejected and not due for a probe
   * @returns null if no server can be selected
   */
  acquire(
    service: string,
    triedNames: ReadonlySet<string>,
    options: { readonly isSecondAttempt?: boolean } = {},
  ): AcquiredServer | null {
    const active = this.listActiveServers(service).filter(({ name }) => !triedNames.has(name));
    const usable = active.filter((server) => this.isUsable(server.name));
    const isUsableRequired = usable.length > 0 || options.isSecondAttempt === true;
    const chosen = this.selectLeastLoaded(isUsableRequired ? usable : active);
    if (chosen === null) return null;
    const health = this.getOrCreateHealth(chosen.name);
    const isProbe = health.ejectionsCount > 0 && usable.length > 0;
    if (isProbe) health.isProbing = true;
    health.inFlightCount += 1;
    const reported = { isDone: false };
    return {
      backend: chosen,
      client: this.dependencies.serviceClients.clientFor(chosen),
      recordResult: (hasAnswered) => {
        if (!reported.isDone) this.applyResult(chosen.name, hasAnswered, isProbe);
        reported.isDone = true;
      },
    };
  }

  /** Excludes a server that announced its shutdown, until its catalogue item changes. */
  markLeaving(name: string): void {
    const health = this.getOrCreateHealth(name);
    if (health.leavingAtRevision !== null) return;
    health.leavingAtRevision = this.getRevision(name);
    this.dependencies.logger.info({ server: name }, "server is leaving and receives no new calls");
  }

  /** Describes all servers in the catalogue, for operators. */
  describe(): types.ServerDescription[] {
    const state = this.dependencies.catalogueView.current();
    const servers = catalogue.listAllServiceServers(state);
    return servers.map((server) => {
      const health = this.getOrCreateHealth(server.name);
      return {
        name: server.name,
        service: server.service,
        dataCentre: server.dataCentre,
        health: this.describeHealth(server, health),
        failuresCount: health.failuresCount,
        inFlightCount: health.inFlightCount,
      };
    });
  }

  [Symbol.dispose](): void {
    this.subscription[Symbol.dispose]();
  }

  private listActiveServers(service: string): catalogue.ServiceBackend[] {
    const state = this.dependencies.catalogueView.current();
    return catalogue
      .listServersOfService(state, service)
      .filter((server) => server.state === catalogue.DesiredState.Active)
      .filter((server) => !this.isLeaving(server.name));
  }

  private selectLeastLoaded(
    servers: readonly catalogue.ServiceBackend[],
  ): catalogue.ServiceBackend | null {
    const { fleetView, random: randomSource } = this.dependencies;
    const ranked = servers
      .map((server) => ({
        server,
        distance: server.dataCentre === fleetView.self.dataCentre ? 0 : 1,
        inFlightCount: this.getOrCreateHealth(server.name).inFlightCount,
        tieBreaker: randomSource.next(),
      }))
      .sort(
        (left, right) =>
          left.distance - right.distance ||
          left.inFlightCount - right.inFlightCount ||
          left.tieBreaker - right.tieBreaker,
      );
    return ranked[0]?.server ?? null;
  }

  /** Whether a server is not ejected, or is due for a probe; only one probe runs at a time. */
  private isUsable(name: string): boolean {
    const health = this.getOrCreateHealth(name);
    if (health.ejectionsCount === 0) return true;
    return !health.isProbing && this.dependencies.clock.nowMs() >= health.ejectedUntilMs;
  }

  private isLeaving(name: string): boolean {
    const health = this.getOrCreateHealth(name);
    if (health.leavingAtRevision === null) return false;
    if (health.leavingAtRevision === this.getRevision(name)) return true;
    health.leavingAtRevision = null;
    return false;
  }

  private applyResult(name: string, hasAnswered: boolean, isProbe: boolean): void {
    const health = this.getOrCreateHealth(name);
    health.inFlightCount = Math.max(0, health.inFlightCount - 1);
    if (isProbe) health.isProbing = false;
    if (hasAnswered) {
      this.recordSuccess(name, health);
      return;
    }
    health.failuresCount += 1;
    const isThresholdReached = health.failuresCount >= constants.EJECTION_FAILURES_COUNT;
    if (isThresholdReached && (isProbe || health.ejectionsCount === 0)) this.eject(name, health);
  }

  private recordSuccess(name: string, health: ServerHealth): void {
    if (health.ejectionsCount > 0) {
      this.dependencies.logger.info(
        { server: name },
        "server answers again and is no longer ejected",
      );
    }
    health.failuresCount = 0;
    health.ejectionsCount = 0;
    health.ejectedUntilMs = 0;
  }

  private eject(name: string, health: ServerHealth): void {
    const { clock, logger, metrics } = this.dependencies;
    const durationMs = Math.min(
      constants.MAX_EJECTION_MS,
      constants.MIN_EJECTION_MS * 2 ** health.ejectionsCount,
    );
    if (health.ejectionsCount === 0)
      logger.info(
        { server: name },
        `server ejected after ${health.failuresCount} consecutive failures`,
      );
    health.ejectionsCount += 1;
    health.ejectedUntilMs = clock.nowMs() + durationMs;
    metrics.increment("calls.server_ejected", 1, { server: name });
  }

  private describeHealth(
    server: catalogue.ServiceBackend,
    health: ServerHealth,
  ): types.ServerHealthState {
    if (server.state === catalogue.DesiredState.Draining || this.isLeaving(server.name)) {
      return types.ServerHealthState.Leaving;
    }
    if (health.isProbing) return types.ServerHealthState.Probing;
    if (health.ejectionsCount > 0) return types.ServerHealthState.Ejected;
    return types.ServerHealthState.Healthy;
  }

  private getRevision(name: string): number {
    const state = this.dependencies.catalogueView.current();
    return state.items.get(`${catalogue.ItemKind.Service}/${name}`)?.revision ?? -1;
  }

  private deleteRemovedServers(state: catalogue.CatalogueState): void {
    for (const name of this.healthByName.keys()) {
      const isKnown = state.items.has(`${catalogue.ItemKind.Service}/${name}`);
      if (!isKnown) this.healthByName.delete(name);
    }
  }

  private getOrCreateHealth(name: string): ServerHealth {
    const existing = this.healthByName.get(name);
    if (existing !== undefined) return existing;
    const created: ServerHealth = {
      failuresCount: 0,
      ejectionsCount: 0,
      ejectedUntilMs: 0,
      isProbing: false,
      inFlightCount: 0,
      leavingAtRevision: null,
    };
    this.healthByName.set(name, created);
    return created;
  }
}
