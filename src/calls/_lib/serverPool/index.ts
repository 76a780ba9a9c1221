import type * as clocks from "../../../_lib/clock/index.js";
import type * as loggers from "../../../_lib/logger/index.js";
import type * as random from "../../../_lib/random/index.js";
import type * as backends from "../../../backends/types.js";
import * as catalogue from "../../../catalogue/index.js";
import type * as fleet from "../../../fleet/types.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";

/** What the pool works with. */
export interface PoolDependencies {
  readonly clock: clocks.Clock;
  readonly random: random.RandomSource;
  readonly logger: loggers.Logger;
  readonly metrics: telemetry.Metrics;
  readonly fleetView: fleet.FleetView;
  readonly catalogueView: catalogue.CatalogueView;
  readonly serviceClients: backends.ServiceClients;
}

/** A server taken for one attempt; its first report counts. */
export interface TakenServer {
  readonly backend: catalogue.ServiceBackend;
  readonly client: backends.ServiceClient;
  report(hasAnswered: boolean): void;
}

interface ServerHealth {
  failuresCount: number;
  ejectionsCount: number;
  ejectedUntilMs: number;
  isProbing: boolean;
  inFlightCount: number;
  /** The catalogue's revision at which the server was said to leave; null where it is not. */
  leavingAtRevision: number | null;
}

/** Servers of plain services: whom to send to, and whom to spare. */
export class ServerPool implements Disposable {
  private readonly healthByName = new Map<string, ServerHealth>();
  private readonly subscription: Disposable;

  constructor(private readonly dependencies: PoolDependencies) {
    this.subscription = dependencies.catalogueView.onChange((state) => this.dropRemoved(state));
  }

  /**
   * Takes a server for one attempt: this data centre first, the least busy first; an ejected one
   * only as a probe, or where no other is left.
   *
   * @param triedNames - servers that the request has been sent to before
   * @param options - `isSpare` for a second attempt beside a running one: no ejected server then
   */
  take(
    service: string,
    triedNames: ReadonlySet<string>,
    options: { readonly isSpare?: boolean } = {},
  ): TakenServer | null {
    const active = this.activeServers(service).filter(({ name }) => !triedNames.has(name));
    const usable = active.filter((server) => this.isUsable(server.name));
    const isStrict = usable.length > 0 || options.isSpare === true;
    const chosen = this.selectBest(isStrict ? usable : active);
    if (chosen === null) return null;
    const health = this.healthOf(chosen.name);
    const isProbe = health.ejectionsCount > 0 && usable.length > 0;
    if (isProbe) health.isProbing = true;
    health.inFlightCount += 1;
    const reported = { isDone: false };
    return {
      backend: chosen,
      client: this.dependencies.serviceClients.clientFor(chosen),
      report: (hasAnswered) => {
        if (!reported.isDone) this.report(chosen.name, hasAnswered, isProbe);
        reported.isDone = true;
      },
    };
  }

  /** Gives a server no new work, from any sign, until its catalogue item changes again. */
  markLeaving(name: string): void {
    const health = this.healthOf(name);
    if (health.leavingAtRevision !== null) return;
    health.leavingAtRevision = this.revisionOf(name);
    this.dependencies.logger.info({ server: name }, "server leaves and gets no new calls");
  }

  describe(): types.ServerDescription[] {
    const state = this.dependencies.catalogueView.current();
    const servers = catalogue.listServiceServers(state);
    return servers.map((server) => {
      const health = this.healthOf(server.name);
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

  private activeServers(service: string): catalogue.ServiceBackend[] {
    const state = this.dependencies.catalogueView.current();
    return catalogue
      .listServices(state, service)
      .filter((server) => server.state === catalogue.DesiredState.Active)
      .filter((server) => !this.isLeaving(server.name));
  }

  private selectBest(
    servers: readonly catalogue.ServiceBackend[],
  ): catalogue.ServiceBackend | null {
    const { fleetView, random: randomSource } = this.dependencies;
    const ranked = servers
      .map((server) => ({
        server,
        distance: server.dataCentre === fleetView.self.dataCentre ? 0 : 1,
        inFlightCount: this.healthOf(server.name).inFlightCount,
        draw: randomSource.next(),
      }))
      .sort(
        (left, right) =>
          left.distance - right.distance ||
          left.inFlightCount - right.inFlightCount ||
          left.draw - right.draw,
      );
    return ranked[0]?.server ?? null;
  }

  /** An ejected server is usable again for one probe at a time. */
  private isUsable(name: string): boolean {
    const health = this.healthOf(name);
    if (health.ejectionsCount === 0) return true;
    return !health.isProbing && this.dependencies.clock.nowMs() >= health.ejectedUntilMs;
  }

  private isLeaving(name: string): boolean {
    const health = this.healthOf(name);
    if (health.leavingAtRevision === null) return false;
    if (health.leavingAtRevision === this.revisionOf(name)) return true;
    health.leavingAtRevision = null;
    return false;
  }

  private report(name: string, hasAnswered: boolean, isProbe: boolean): void {
    const health = this.healthOf(name);
    health.inFlightCount = Math.max(0, health.inFlightCount - 1);
    if (isProbe) health.isProbing = false;
    if (hasAnswered) {
      this.restore(name, health);
      return;
    }
    health.failuresCount += 1;
    const isDue = health.failuresCount >= constants.EJECTION_FAILURES_COUNT;
    if (isDue && (isProbe || health.ejectionsCount === 0)) this.eject(name, health);
  }

  private restore(name: string, health: ServerHealth): void {
    if (health.ejectionsCount > 0) {
      this.dependencies.logger.info({ server: name }, "server answers again");
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
    if (health.ejectionsCount === 0) logger.info({ server: name }, "server ejected");
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

  private revisionOf(name: string): number {
    const state = this.dependencies.catalogueView.current();
    return state.items.get(`${catalogue.ItemKind.Service}/${name}`)?.revision ?? -1;
  }

  private dropRemoved(state: catalogue.CatalogueState): void {
    for (const name of this.healthByName.keys()) {
      const isKnown = state.items.has(`${catalogue.ItemKind.Service}/${name}`);
      if (!isKnown) this.healthByName.delete(name);
    }
  }

  private healthOf(name: string): ServerHealth {
    const known = this.healthByName.get(name);
    if (known !== undefined) return known;
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
