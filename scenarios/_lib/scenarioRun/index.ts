import * as clocks from "../../../src/_lib/clock/index.js";
import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as randoms from "../../../src/_lib/random/index.js";
import * as adminClients from "../../../src/cli/adminClient/index.js";
import * as defaultOptions from "../../../standins/engine/defaultOptions/index.js";
import type * as faults from "../../../standins/faults/index.js";
import * as freePorts from "../../../standins/freePorts/index.js";
import * as worlds from "../../../standins/world/index.js";
import type * as types from "../../types.js";
import * as callerSessions from "../callerSession/index.js";
import * as linkTables from "../linkTable/index.js";
import * as tcpProxies from "../tcpProxy/index.js";
import * as scenarioVms from "../scenarioVm/index.js";
import * as vmSettings from "../vmSettings.js";

const PORTS_PER_VM = 2;

/** One run of a scenario. Owns the stand-ins, the VMs, the TCP proxies between VMs, and callers. */
export class ScenarioRun implements AsyncDisposable {
  readonly world: worlds.StandInWorld;
  readonly links = new linkTables.LinkTable();
  readonly vms = new Map<string, scenarioVms.ScenarioVm>();
  readonly callers = new Map<string, callerSessions.CallerSession>();
  /** Base revision of the last change to each item, for steps that submit a stale change. */
  readonly lastBaseRevisions = new Map<string, number | null>();
  private readonly ports = new Map<string, scenarioVms.VmPorts>();
  private readonly proxies = new Map<string, tcpProxies.TcpProxy>();
  private readonly store = new disposableStore.DisposableStore();
  private startsCount = 0;

  private constructor(readonly scenario: types.Scenario) {
    const random = randoms.createRandom(scenario.seed);
    const clock = new clocks.SystemClock();
    this.world = this.store.add(new worlds.StandInWorld(clock, random));
    this.links.onChange(() => this.breakPartitionedProxies());
  }

  /** Starts the stand-ins and the proxies between the VMs, but no VM. */
  static async create(scenario: types.Scenario): Promise<ScenarioRun> {
    const run = new ScenarioRun(scenario);
    await run.world.start();
    for (const engine of scenario.engines) await run.addEngine(engine);
    for (const { service, name } of scenario.services) await run.world.addService(service, name);
    const free = await freePorts.findFreePorts(scenario.vms.length * PORTS_PER_VM);
    scenario.vms.forEach((vm, index) => {
      const [peerPort = 0, heartbeatPort = 0] = free.slice(index * PORTS_PER_VM);
      run.ports.set(vm.name, { peerPort, heartbeatPort });
    });
    await run.openProxies();
    return run;
  }

  /** Starts a declared VM, for the first time or again after it was killed. */
  async startVm(name: string): Promise<void> {
    const declared = this.scenario.vms.find((vm) => vm.name === name);
    if (declared === undefined) throw new Error(`the scenario declares no VM ${name}`);
    const vm = new scenarioVms.ScenarioVm(declared, {
      links: this.links,
      findPartyByHeartbeatPort: (port) => this.findPartyByHeartbeatPort(port),
      proxyPortTo: (other) => this.proxies.get(`${name}>${other}`)?.port,
      settings: vmSettings.createVmSettings(this.scenario, name, this.ports, this.world),
      randomSeed: this.scenario.seed + this.startsCount++,
    });
    this.vms.set(name, vm);
    this.store.add(vm);
    await vm.start();
  }

  /** Kills a VM and breaks its connections. */
  async killVm(name: string): Promise<void> {
    const vm = this.vm(name);
    vm.gate.kill();
    for (const [key, proxy] of this.proxies) {
      if (key.split(">").includes(name)) proxy.breakConnections();
    }
    await vm.kill();
  }

  /** Returns a VM that has been started; throws an Error if there is none. */
  vm(name: string): scenarioVms.ScenarioVm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new Error(`VM ${name} has not been started`);
    return vm;
  }

  /** Returns the VM with a name, or the first running VM. */
  vmAt(name: string | undefined): scenarioVms.ScenarioVm {
    if (name !== undefined) return this.vm(name);
    const first = this.runningVms()[0];
    if (first === undefined) throw new Error("no VM of the scenario is running");
    return first;
  }

  /** Lists the VMs that have been started and have neither left nor been killed. */
  runningVms(): readonly scenarioVms.ScenarioVm[] {
    return [...this.vms.values()].filter((vm) => vm.isRunning);
  }

  /** Returns the caller of a named request; throws an Error if it has not been sent. */
  caller(name: string): callerSessions.CallerSession {
    const caller = this.callers.get(name);
    if (caller === undefined) throw new Error(`request ${name} has not been sent`);
    return caller;
  }

  /** Creates the caller of a named request. */
  addCaller(name: string): callerSessions.CallerSession {
    const caller = new callerSessions.CallerSession(name);
    this.callers.set(name, this.store.add(caller));
    return caller;
  }

  /** Creates a client of a VM's admin port with an operator's key. */
  adminOf(vm: scenarioVms.ScenarioVm, operator = "operator"): adminClients.AdminClient {
    return new adminClients.AdminClient({ url: vm.adminUrl, key: vmSettings.deriveKey(operator) });
  }

  /** Returns a stand-in; throws an Error if there is none with this name. */
  standIn(name: string): faults.Faultable {
    const found = this.world.find(name);
    if (found === undefined) throw new Error(`the scenario has no stand-in ${name}`);
    return found;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.store[Symbol.asyncDispose]();
  }

  private async addEngine(engine: types.Scenario["engines"][number]): Promise<void> {
    const loaded = [{ model: engine.model, version: engine.version, adapters: [] }];
    await this.world.addEngine({
      ...defaultOptions.createDefaultEngineOptions(engine.name, loaded),
      capacityTokens: engine.capacityTokens,
      maxRunningCount: engine.maxRunningCount,
      stepBaseMs: engine.stepMs,
      checksFencing: engine.checksFencing,
    });
  }

  private async openProxies(): Promise<void> {
    for (const from of this.scenario.vms) {
      for (const to of this.scenario.vms) {
        if (from.name === to.name) continue;
        const port = this.ports.get(to.name)?.peerPort ?? 0;
        const proxy = new tcpProxies.TcpProxy(port, this.createProxyPolicy(from, to));
        this.proxies.set(`${from.name}>${to.name}`, this.store.add(proxy));
        await proxy.open();
      }
    }
  }

  private createProxyPolicy(from: linkTables.Party, to: linkTables.Party): tcpProxies.ProxyPolicy {
    const ends = (): readonly scenarioVms.ScenarioVm[] =>
      [from, to].flatMap((party) => this.vms.get(party.name) ?? []);
    return {
      isOpen: () => !this.links.isPartitioned(from, to) && ends().every((vm) => !vm.gate.isDead),
      waitUntilResumed: async () => {
        for (const vm of ends()) await vm.gate.waitUntilResumed();
      },
    };
  }

  private breakPartitionedProxies(): void {
    const findParty = (name: string): linkTables.Party | undefined =>
      this.scenario.vms.find((vm) => vm.name === name);
    for (const [key, proxy] of this.proxies) {
      const [from, to] = key.split(">").map((name) => findParty(name));
      if (from !== undefined && to !== undefined && this.links.isPartitioned(from, to)) {
        proxy.breakConnections();
      }
    }
  }

  private findPartyByHeartbeatPort(port: number): linkTables.Party | undefined {
    return this.scenario.vms.find((vm) => this.ports.get(vm.name)?.heartbeatPort === port);
  }
}
