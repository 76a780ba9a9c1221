import type * as clocks from "../../src/_lib/clock/index.js";
import * as disposableStore from "../../src/_lib/disposableStore/index.js";
import type * as randoms from "../../src/_lib/random/index.js";
import type * as engineTypes from "../engine/types.js";
import * as engineServers from "../engine/server/index.js";
import type * as faults from "../faults/index.js";
import * as logModels from "../log/model/index.js";
import * as logServers from "../log/server/index.js";
import * as serviceModels from "../service/model/index.js";
import * as serviceServers from "../service/server/index.js";
import * as vmListServers from "../vms/server/index.js";
import * as weightServers from "../weights/server/index.js";

/** The platform's services, by the names of their stand-ins. */
export enum PlatformService {
  Log = "log",
  VmList = "vm-list",
  WeightStore = "weight-store",
}

/** Options of a StandInWorld: its log, and the limit of the weight store. */
export interface WorldOptions {
  readonly log?: logModels.LogModelOptions;
  readonly loadsPerMinuteLimit?: number;
}

const DEFAULT_LOADS_PER_MINUTE = 60;

/** The stand-ins of a scenario or a local fleet, on loopback in this process, and a look-up by name. */
export class StandInWorld implements AsyncDisposable {
  readonly log: logServers.LogServer;
  readonly vmList: vmListServers.VmListServer;
  readonly weightStore: weightServers.WeightStoreServer;
  readonly engines = new Map<string, engineServers.EngineServer>();
  readonly services = new Map<string, serviceServers.ServiceServer>();
  private readonly serviceModels = new Map<string, serviceModels.ServiceModel>();
  private readonly store = new disposableStore.DisposableStore();

  constructor(
    private readonly clock: clocks.Clock,
    private readonly random: randoms.RandomSource,
    options: WorldOptions = {},
  ) {
    const { log = logModels.DEFAULT_LOG_OPTIONS, loadsPerMinuteLimit = DEFAULT_LOADS_PER_MINUTE } =
      options;
    this.log = new logServers.LogServer({ name: PlatformService.Log }, clock, log);
    this.vmList = new vmListServers.VmListServer({ name: PlatformService.VmList }, clock);
    this.weightStore = new weightServers.WeightStoreServer(
      { name: PlatformService.WeightStore },
      clock,
      loadsPerMinuteLimit,
    );
  }

  /** Starts the stand-ins of the platform's services. */
  async start(): Promise<void> {
    for (const server of [this.log, this.vmList, this.weightStore]) {
      await this.store.add(server).start();
    }
  }

  /** Starts a stand-in engine; it reserves its model loads at the weight store, unless the options say otherwise. */
  async addEngine(options: engineTypes.EngineModelOptions): Promise<engineServers.EngineServer> {
    const reserveLoad = (): number => this.weightStore.model.reserveLoad();
    const { name } = options;
    const modelOptions = { reserveLoad, ...options };
    const server = new engineServers.EngineServer(
      { name },
      this.clock,
      this.random.fork(),
      modelOptions,
    );
    await this.store.add(server).start();
    this.engines.set(name, server);
    return server;
  }

  /** Starts a server of a plain service; the servers of one service share one model. */
  async addService(service: string, name: string): Promise<serviceServers.ServiceServer> {
    const server = new serviceServers.ServiceServer(
      { name },
      this.clock,
      this.serviceModel(service),
    );
    await this.store.add(server).start();
    this.services.set(name, server);
    return server;
  }

  /** Returns the model that the servers of a service share. */
  serviceModel(service: string): serviceModels.ServiceModel {
    const known = this.serviceModels.get(service);
    if (known !== undefined) return known;
    const created = new serviceModels.ServiceModel();
    this.serviceModels.set(service, created);
    return created;
  }

  /** Finds a stand-in by name, to inject a fault into it. */
  find(name: string): faults.Faultable | undefined {
    const platformServers: readonly faults.Faultable[] = [this.log, this.vmList, this.weightStore];
    const platformServer = platformServers.find((item) => item.name === name);
    return platformServer ?? this.engines.get(name) ?? this.services.get(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.store[Symbol.asyncDispose]();
  }
}
