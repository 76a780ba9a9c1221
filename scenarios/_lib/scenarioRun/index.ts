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
import * as peerRelays from "../peerRelay/index.js";
import * as scenarioVms from "../scenarioVm/index.js";
import * as vmSettings from "../vmSettings.js";

const PORTS_PER_VM = 2;

/** Everything that one run of a scenario owns: stand-ins, VMs, the ways between them, callers. */
export class ScenarioRun implements AsyncDisposable {
  readonly world: worlds.StandInWorld;
  readonly links = new linkTables.LinkTable();
  readonly vms = new Map<string, scenarioVms.ScenarioVm>();
  readonly callers = new Map<string, callerSessions.CallerSession>();
  /** Revision on which the last change of each item was built, for changes that come too late. */
  readonly lastBases = new Map<string, number | null>();
  private readonly ports = new Map<string, scenarioVms.VmPorts>();
  private readonly relays = new Map<string, peerRelays.PeerRelay>();
  private readonly store = new disposableStore.DisposableStore();
  private startsCount = 0;

  private constructor(readonly scenario: types.Scenario) {
    const random = randoms.createRandom(scenario.seed);
    const clock = new clocks.SystemClock();
    this.world = this.store.add(new worlds.StandInWorld(clock, random));
    this.links.onChange(() => this.breakCutRelays());
  }

  /** Starts the stand-ins and lays the ways between the VMs; no VM runs yet. */
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
    await run.layRelays();
    return run;
  }

  async startVm(name: string): Promise<void> {
    const declared = this.scenario.vms.find((vm) => vm.name === name);
    if (declared === undefined) throw new Error(`no VM ${name}`);
    const vm = new scenarioVms.ScenarioVm(declared, {
      links: this.links,
      placeOfHeartbeatPort: (port) => this.placeOfHeartbeatPort(port),
      relayPortTo: (other) => this.relays.get(`${name}>${other}`)?.port,
      settings: vmSettings.vmSettings(this.scenario, name, this.ports, this.world),
      randomSeed: this.scenario.seed + this.startsCount++,
    });
    this.vms.set(name, vm);
    this.store.add(vm);
    await vm.start();
  }

  async killVm(name: string): Promise<void> {
    const vm = this.vm(name);
    vm.gate.kill();
    for (const [key, relay] of this.relays) {
      if (key.split(">").includes(name)) relay.breakConnections();
    }
    await vm.kill();
  }

  vm(name: string): scenarioVms.ScenarioVm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new Error(`${name} was not started`);
    return vm;
  }

  /** The VM with a name, or the first one that runs. */
  vmAt(name: string | undefined): scenarioVms.ScenarioVm {
    if (name !== undefined) return this.vm(name);
    const first = this.runningVms()[0];
    if (first === undefined) throw new Error("no VM runs");
    return first;
  }

  runningVms(): readonly scenarioVms.ScenarioVm[] {
    return [...this.vms.values()].filter((vm) => vm.isRunning);
  }

  caller(name: string): callerSessions.CallerSession {
    const caller = this.callers.get(name);
    if (caller === undefined) throw new Error(`no request ${name} was sent yet`);
    return caller;
  }

  addCaller(name: string): callerSessions.CallerSession {
    const caller = new callerSessions.CallerSession(name);
    this.callers.set(name, this.store.add(caller));
    return caller;
  }

  /** An operator's access to a VM. */
  adminOf(vm: scenarioVms.ScenarioVm, operator = "operator"): adminClients.AdminClient {
    return new adminClients.AdminClient({ url: vm.adminUrl, key: vmSettings.keyOf(operator) });
  }

  standIn(name: string): faults.Faultable {
    const found = this.world.find(name);
    if (found === undefined) throw new Error(`no stand-in ${name}`);
    return found;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.store[Symbol.asyncDispose]();
  }

  private async addEngine(engine: types.Scenario["engines"][number]): Promise<void> {
    const loaded = [{ model: engine.model, version: engine.version, adapters: [] }];
    await this.world.addEngine({
      ...defaultOptions.defaultEngineOptions(engine.name, loaded),
      capacityTokens: engine.capacityTokens,
      maxRunningCount: engine.maxRunningCount,
      stepBaseMs: engine.stepMs,
      checksFencing: engine.checksFencing,
    });
  }

  private async layRelays(): Promise<void> {
    for (const from of this.scenario.vms) {
      for (const to of this.scenario.vms) {
        if (from.name === to.name) continue;
        const port = this.ports.get(to.name)?.peerPort ?? 0;
        const relay = new peerRelays.PeerRelay(port, this.relayPolicy(from, to));
        this.relays.set(`${from.name}>${to.name}`, this.store.add(relay));
        await relay.open();
      }
    }
  }

  private relayPolicy(from: linkTables.Place, to: linkTables.Place): peerRelays.RelayPolicy {
    const ends = (): readonly scenarioVms.ScenarioVm[] =>
      [from, to].flatMap((place) => this.vms.get(place.name) ?? []);
    return {
      isOpen: () => !this.links.isCut(from, to) && ends().every((vm) => !vm.gate.isDead),
      pass: async () => {
        for (const vm of ends()) await vm.gate.pass();
      },
    };
  }

  private breakCutRelays(): void {
    const placeOf = (name: string): linkTables.Place | undefined =>
      this.scenario.vms.find((vm) => vm.name === name);
    for (const [key, relay] of this.relays) {
      const [from, to] = key.split(">").map((name) => placeOf(name));
      if (from !== undefined && to !== undefined && this.links.isCut(from, to)) {
        relay.breakConnections();
      }
    }
  }

  private placeOfHeartbeatPort(port: number): linkTables.Place | undefined {
    return this.scenario.vms.find((vm) => this.ports.get(vm.name)?.heartbeatPort === port);
  }
}
