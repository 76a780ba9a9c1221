import type * as http from "node:http";
import * as timers from "node:timers/promises";

import type * as randoms from "../../../src/_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as brittleBehaviours from "../../../standins/platform/brittleBehaviour/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as movableStreams from "../../../standins/platform/movableStreams/index.js";
import * as platformLogStores from "../../../standins/platform/logStore/index.js";
import * as accountFloods from "../accountFlood/index.js";
import * as callers from "../callers/index.js";
import type * as checks from "../checks/index.js";
import * as coldReturns from "../coldReturn/index.js";
import * as crashCauses from "../crashCauses/index.js";
import * as soakEvacuations from "../evacuations/index.js";
import * as fallCounts from "../countFalls/index.js";
import * as faults from "../faults/index.js";
import * as constants from "../constants.js";
import * as framings from "../createFramedBehaviour/index.js";
import * as processes from "../processes/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const pause = timers.setTimeout;

/**
 * The fleet of a soak test: gateway processes with in-process fakes of the store and the servers.
 */
export class SoakFleet implements AsyncDisposable {
  readonly vms: processes.GatewayProcess[] = [];
  readonly servers: backendServers.BackendServer[] = [];
  apiKey = "key-1";
  readonly evacuations: soakEvacuations.SoakEvacuations;
  readonly platform = new gatewayFleets.GatewayFleet();
  readonly services = new Map<string, string>();
  /** The streams of all engines, which go on at others when their engines leave. */
  readonly streams = new movableStreams.MovableStreams({
    eventsCount: callers.STREAM_EVENTS_COUNT,
    gapMs: constants.EVENT_INTERVAL_MS,
  });
  private serversCount = 0;
  private causesCount = 0;
  private isBrittle = false;
  /** Faults injected so far other than floods of an account. */
  disturbancesCount = 0;
  /** Recent copies of the store, the oldest first. */
  private readonly copies: platformLogStores.StoreCopy[] = [];
  private copyTimer: NodeJS.Timeout | null = null;

  constructor(
    readonly checker: checks.InvariantChecker,
    private readonly directory: string,
  ) {
    this.evacuations = new soakEvacuations.SoakEvacuations(this.platform, checker.evacuations);
  }

  /** The fake of the platform's store. */
  get store(): platformLogStores.PlatformLogStore {
    return this.platform.store;
  }

  /** Starts the store, three servers of each service and the given number of gateways. */
  async start(vmsCount: number): Promise<void> {
    await this.platform.start();
    this.platform.engineServiceFields = coldReturns.ENGINE_SERVICE_FIELDS;
    this.copyTimer = setInterval(() => {
      this.copies.push(this.store.copy());
      if (this.copies.length > constants.COPIES_COUNT) this.copies.shift();
    }, constants.COPY_INTERVAL_MS);
    this.publishConfiguration();
    for (const service of [PLAIN_SERVICE, ENGINE_SERVICE])
      for (let count = 0; count < constants.SERVERS_COUNT; count += 1)
        await this.addServer(service);
    for (let index = 0; index < vmsCount; index += 1) {
      const observer = this.checker.createProcessObserver(index);
      const vm = new processes.GatewayProcess(index, this.store.port, this.directory, observer);
      vm.start();
      this.vms.push(vm);
    }
  }

  /** Publishes a new configuration version with the current API key. */
  publishConfiguration(): void {
    const others = accountFloods.ACCOUNT_KEYS.map((key) => ({ name: key, api_keys: [key] }));
    this.platform.configure({ tenants: [{ name: "acme", api_keys: [this.apiKey] }, ...others] });
  }

  /** Replaces the API key by a new one in the configuration. */
  replaceKey(): void {
    const removed = this.apiKey;
    this.apiKey = `key-${Number(removed.slice(4)) + 1}`;
    this.publishConfiguration();
    this.checker.recordKeyRemoval(removed);
  }

  /** Draws one of the recent copies of the store. */
  drawCopy(random: randoms.RandomSource): platformLogStores.StoreCopy {
    return faults.drawOne(this.copies, random);
  }

  /** Restores the store. The lost records are written again after a delay, like their writers do. */
  restoreStore(copy: platformLogStores.StoreCopy, rewriteDelayMs: number): void {
    const restore = this.store.restore(copy);
    setTimeout(() => {
      this.store.rewrite(restore);
      this.evacuations.rewrite();
    }, rewriteDelayMs);
  }

  /** Lets the store answer in another way for a while. */
  async disturbStore(mode: platformLogStores.StoreMode, durationMs: number): Promise<void> {
    // A store that only loses answers to writes still tells the VMs of leaving servers.
    const isUnreadable = mode !== platformLogStores.StoreMode.LosesAnswers;
    if (isUnreadable) this.checker.recordStoreDisturbance();
    this.store.setMode(mode);
    await pause(durationMs);
    this.store.setMode(platformLogStores.StoreMode.Serves);
    if (isUnreadable) this.checker.recordStoreRecovery();
  }

  /** Checks that every VM serves a call with the API key of the newest configuration. */
  async checkConfigurationInForce(seed: number): Promise<void> {
    for (const vm of this.vms) {
      const id = `s${seed}-final-${vm.index}`;
      const status = await callers.makeLookup(id, this.apiKey, vm, this.checker);
      this.checker.checkInForce(vm.index, this.apiKey, status);
    }
  }

  /** Compacts the history of the topics that the gateways follow. */
  compactTopics(): void {
    this.store.compact("keyed.op");
    this.store.compact("keyed.servers");
  }

  /**
   * Lets a random server announce its shutdown and stop, and adds a new server of the same service.
   */
  async replaceServer(random: randoms.RandomSource): Promise<void> {
    const leaving = faults.drawOne(this.servers, random);
    const service = this.services.get(leaving.id) ?? PLAIN_SERVICE;
    this.servers.splice(this.servers.indexOf(leaving), 1);
    this.platform.register(leaving, service, "draining");
    this.checker.recordDraining(leaving.id);
    setTimeout(() => {
      this.store.put("keyed.servers", leaving.id, null);
      void leaving[Symbol.asyncDispose]();
    }, constants.SERVER_DRAIN_MS);
    await this.addServer(service);
  }

  /** Makes calls with work that makes servers crash, at random VMs, for a while. */
  async makeCrashingCalls(
    kind: crashCauses.CrashKind,
    random: randoms.RandomSource,
    durationMs: number,
  ): Promise<void> {
    this.causesCount += 1;
    const cause = crashCauses.createCause(kind, this.causesCount);
    this.checker.crashes.recordCause(cause);
    const endsAtMs = Date.now() + durationMs;
    for (let index = 0; Date.now() < endsAtMs; index += 1) {
      void callers.makeCrashingCall(
        `${cause.name}-call-${index}`,
        cause,
        this,
        random,
        this.checker,
      );
      await timers.setTimeout(constants.CRASHING_CALL_INTERVAL_MS);
    }
  }

  /** Lets a server name a limit of requests a second in its answers, or none. */
  limitServer(server: backendServers.BackendServer, ratePerSecond: number | null): void {
    server.ratePerSecond = ratePerSecond;
    this.checker.recordLimit(server.id, ratePerSecond);
  }

  /** Replaces a server's behaviour, for example by a faulty one. */
  setFaultyBehaviour(
    server: backendServers.BackendServer,
    behaviour: backendServers.Behaviour,
  ): void {
    server.setBehaviour(this.withExecutionChecks(behaviour));
  }

  /** Restores a server's normal behaviour. */
  restoreBehaviour(server: backendServers.BackendServer): void {
    server.setBehaviour(this.withExecutionChecks(this.normalBehaviourOf(server)));
  }

  /** Returns a server's normal behaviour, which begins after a while. */
  delayNormalBehaviour(
    server: backendServers.BackendServer,
    delayMs: number,
  ): backendServers.Behaviour {
    const normal = this.normalBehaviourOf(server);
    return async (call, response, self) => {
      await pause(delayMs);
      if (response.destroyed) return;
      this.checker.recordExecution(self, call);
      await normal(call, response, self);
    };
  }

  /** Makes all plain servers brittle: after the stability window they end when they reject too much. */
  async makePlainServersBrittle(durationMs: number): Promise<void> {
    if (this.isBrittle) return;
    this.isBrittle = true;
    const brittle = this.servers.filter(({ id }) => this.services.get(id) === PLAIN_SERVICE);
    const fallsBefore = fallCounts.countFalls(brittle);
    for (const server of brittle) {
      server.maxRejectionsPerSecond = constants.MAX_REJECTIONS_PER_SECOND;
      const work = brittleBehaviours.createBrittleBehaviour(
        constants.BRITTLE_WORK,
        (call) => `answer to ${call.id}`,
      );
      this.setFaultyBehaviour(server, work);
    }
    await timers.setTimeout(constants.STABILITY_WINDOW_MS + durationMs);
    for (const server of brittle) {
      server.maxRejectionsPerSecond = null;
      this.restoreBehaviour(server);
    }
    this.isBrittle = false;
    this.checker.checkFalls(fallCounts.countFalls(brittle) - fallsBefore, brittle.length);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.copyTimer !== null) clearInterval(this.copyTimer);
    await Promise.all(this.vms.map((vm) => vm.stop()));
    await this.platform[Symbol.asyncDispose]();
  }

  private normalBehaviourOf(server: backendServers.BackendServer): backendServers.Behaviour {
    const isEngine = this.services.get(server.id) === ENGINE_SERVICE;
    return framings.createFramedBehaviour(server, isEngine ? this.streams : null);
  }

  private async addServer(service: string): Promise<void> {
    this.serversCount += 1;
    const id = `${service}-${this.serversCount}`;
    this.evacuations.locate(id, this.serversCount);
    const slotsCount = service === PLAIN_SERVICE ? constants.PLAIN_SLOTS_COUNT : undefined;
    const server = await this.platform.addServer(id, service, backendServers.refuse(), slotsCount);
    this.services.set(id, service);
    this.restoreBehaviour(server);
    this.servers.push(server);
  }

  /** Lets a server crash under a call, and adds one with a new id in its place a little later. */
  private async crash(
    causeName: string,
    call: backendServers.ReceivedCall,
    response: http.ServerResponse,
    server: backendServers.BackendServer,
  ): Promise<void> {
    this.checker.recordCrashArrival(causeName, call.id);
    const isEngine = this.services.get(server.id) === ENGINE_SERVICE;
    // A run that crashed its engine at the start has no backup to continue from.
    if (call.headers["kv-from"] !== undefined) {
      await backendServers.refuse()(call, response, server);
      return;
    }
    this.checker.recordExecution(server, call);
    const behaviour = isEngine
      ? backendServers.crashAfterBegin(constants.CRASH_DELAY_MS)
      : backendServers.crashWithoutAnswer(constants.CRASH_DELAY_MS);
    await behaviour(call, response, server);
    const at = this.servers.indexOf(server);
    if (at < 0) return;
    this.servers.splice(at, 1);
    this.checker.crashes.recordCrash(causeName);
    await this.replace(server);
  }

  /** Adds a server with a new id in the place of one that has ended, a little later. */
  async replace({ id }: backendServers.BackendServer): Promise<void> {
    await pause(constants.SERVER_DOWN_MS);
    this.store.put("keyed.servers", id, null);
    await this.addServer(this.services.get(id) ?? PLAIN_SERVICE);
  }

  /** Wraps a behaviour so that each execution that it starts is reported to the checker. */
  private withExecutionChecks(behaviour: backendServers.Behaviour): backendServers.Behaviour {
    return (call, response, server) => {
      const dataCentre = this.evacuations.dataCentreOf(server.id);
      this.checker.recordArrival({ serverId: server.id, dataCentre }, call.id);
      const causeName = crashCauses.findCauseName(call);
      if (causeName !== null) return this.crash(causeName, call, response, server);
      const countBefore = server.runs.length;
      const done = behaviour(call, response, server);
      if (server.runs.length > countBefore) this.checker.recordExecution(server, call);
      return done;
    };
  }
}
