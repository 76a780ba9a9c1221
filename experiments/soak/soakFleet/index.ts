import type * as randoms from "../../../src/_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import type * as platformLogStores from "../../../standins/platform/logStore/index.js";
import * as callers from "../callers/index.js";
import type * as checks from "../checks/index.js";
import * as faults from "../faults/index.js";
import * as processes from "../processes/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Time that a server which leaves still serves. */
const DRAIN_MS = 2_500;

const GAP_MS = 25;

/** Gateways as processes before stand-ins of the store and of servers, for a soak. */
export class SoakFleet implements AsyncDisposable {
  readonly vms: processes.GatewayProcess[] = [];
  readonly servers: backendServers.BackendServer[] = [];
  apiKey = "key-1";
  private readonly platform = new gatewayFleets.GatewayFleet();
  private readonly services = new Map<string, string>();
  private serversCount = 0;

  constructor(
    private readonly watch: checks.Checks,
    private readonly directory: string,
  ) {}

  get store(): platformLogStores.PlatformLogStore {
    return this.platform.store;
  }

  async start(vmsCount: number): Promise<void> {
    await this.platform.start();
    this.configure();
    for (const service of [PLAIN_SERVICE, PLAIN_SERVICE, PLAIN_SERVICE]) await this.add(service);
    for (const service of [ENGINE_SERVICE, ENGINE_SERVICE, ENGINE_SERVICE]) await this.add(service);
    for (let index = 0; index < vmsCount; index += 1) {
      const vm = new processes.GatewayProcess(index, this.store.port, this.directory);
      vm.start();
      this.vms.push(vm);
    }
  }

  /** Writes a new version with the key that is in force. */
  configure(): void {
    this.platform.configure({ tenants: [{ name: "acme", api_keys: [this.apiKey] }] });
  }

  /** Takes the key away and gives a new one. */
  replaceKey(): void {
    const removed = this.apiKey;
    this.apiKey = `key-${Number(removed.slice(4)) + 1}`;
    this.configure();
    this.watch.noteKeyRemoved(removed);
  }

  /** Forgets the history of the topics that VMs follow. */
  compact(): void {
    this.store.compact("keyed.op");
    this.store.compact("keyed.servers");
  }

  /** A server announces its leaving and ends; another one comes. */
  async replaceServer(random: randoms.RandomSource): Promise<void> {
    const leaving = faults.pick(this.servers, random);
    const service = this.services.get(leaving.id) ?? PLAIN_SERVICE;
    this.servers.splice(this.servers.indexOf(leaving), 1);
    this.platform.register(leaving, service, "draining");
    this.watch.noteDrained(leaving.id);
    setTimeout(() => {
      this.store.put("keyed.servers", leaving.id, null);
      void leaving[Symbol.asyncDispose]();
    }, DRAIN_MS);
    await this.add(service);
  }

  /** Lets a server do something else with its calls. */
  misbehave(server: backendServers.BackendServer, behaviour: backendServers.Behaviour): void {
    server.behave(this.watched(behaviour));
  }

  /** Lets a server serve its calls again. */
  behave(server: backendServers.BackendServer): void {
    const isEngine = this.services.get(server.id) === ENGINE_SERVICE;
    const script = { eventsCount: callers.STREAM_EVENTS_COUNT, gapMs: GAP_MS };
    const plain: backendServers.Behaviour = (call, response, self) =>
      backendServers.answerWhole(`answer to ${call.id}`)(call, response, self);
    server.behave(this.watched(isEngine ? backendServers.stream(script) : plain));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.vms.map((vm) => vm.end()));
    await this.platform[Symbol.asyncDispose]();
  }

  private async add(service: string): Promise<void> {
    this.serversCount += 1;
    const id = `${service}-${this.serversCount}`;
    const server = await this.platform.addServer(id, service, backendServers.refuse());
    this.services.set(id, service);
    this.behave(server);
    this.servers.push(server);
  }

  /** Tells the checks of each run that a behaviour begins. */
  private watched(behaviour: backendServers.Behaviour): backendServers.Behaviour {
    return (call, response, server) => {
      const countBefore = server.runs.length;
      const done = behaviour(call, response, server);
      if (server.runs.length > countBefore) this.watch.noteRun(server, call);
      return done;
    };
  }
}
