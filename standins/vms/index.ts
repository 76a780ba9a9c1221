import * as disposableStore from "../../src/_lib/disposableStore/index.js";
import * as loggers from "../../src/_lib/logger/index.js";
import * as randoms from "../../src/_lib/random/index.js";
import * as virtualClocks from "../../src/_lib/virtualClock/index.js";
import type * as backends from "../../src/backends/types.js";
import * as catalogue from "../../src/catalogue/types.js";
import type * as fleet from "../../src/fleet/types.js";
import * as fleetTypes from "../../src/fleet/types.js";
import * as generations from "../../src/generations/index.js";
import type * as telemetry from "../../src/telemetry/types.js";
import * as catalogueViews from "../catalogue/view/index.js";
import * as engineClients from "../engine/client/index.js";
import * as engineModels from "../engine/model/index.js";
import type * as engineTypes from "../engine/types.js";
import * as fleetViews from "../fleet/view/index.js";
import * as counterModels from "../telemetry/counters/index.js";
import * as hubs from "../peers/hub/index.js";
import * as seedingClients from "./seedingClients/index.js";
import * as pausableProcesses from "./pausable/index.js";

/** Options of a VmGroup: its VMs and engines and their data centres. */
export interface VmGroupOptions {
  /** Data centre of each VM, by name. */
  readonly vms: Readonly<Record<string, string>>;
  /** Data centre of each engine, by name. */
  readonly engines: Readonly<Record<string, string>>;
  readonly engineOptions?: Partial<engineTypes.EngineModelOptions>;
  readonly seed?: number;
}

/** One VM's generation service and the fakes that it uses. */
export interface GroupedVm {
  readonly name: string;
  readonly service: generations.Generations;
  readonly fleet: fleetViews.FakeFleetView;
  readonly process: pausableProcesses.PausableProcess;
  readonly tracer: MemoryTracer;
  readonly metrics: counterModels.CounterModel;
}

/** Three VMs in one data centre. */
export const THREE_VMS = { a: "dc1", b: "dc1", c: "dc1" };

const LOADED: backends.LoadedModel = { model: "m", version: "1", adapters: ["a"] };

const ENGINE_OPTIONS: engineTypes.EngineModelOptions = {
  name: "",
  capacityTokens: 20_000,
  maxRunningCount: 16,
  stepBaseMs: 10,
  stepPerSequenceMs: 0.5,
  stepPerContextTokenMs: 0,
  stepPerPrefillTokenMs: 0.05,
  maxPrefillTokensPerStep: 512,
  cacheBlockTokens: 16,
  loadReportLagMs: 100,
  cacheEventLagMs: 100,
  cacheEventLossRatio: 0,
  checksFencing: true,
  modelLoadMs: 100,
  loadedModels: [LOADED],
  lengthOf: () => 100,
  promptTokensOf: () => 20,
};

/** The generation services of several VMs in one process, on a virtual clock and with fake dependencies. */
export class VmGroup implements AsyncDisposable {
  readonly clock = new virtualClocks.VirtualClock();
  readonly hub = new hubs.PeerHub(this.clock);
  readonly catalogue: catalogueViews.FakeCatalogueView;
  readonly engines = new Map<string, engineModels.EngineModel>();
  readonly vms = new Map<string, GroupedVm>();
  private readonly clients: seedingClients.SeedingEngineClients;
  private readonly downVms = new Set<string>();
  private readonly resources = new disposableStore.DisposableStore();
  private readonly random: randoms.RandomSource;

  constructor(private readonly options: VmGroupOptions) {
    this.random = randoms.createRandom(options.seed ?? 1);
    this.hub.latencyMs = 1;
    this.catalogue = new catalogueViews.FakeCatalogueView([
      createEntry(),
      ...this.listEngineEntries(),
    ]);
    for (const name of Object.keys(options.engines)) this.addEngine(name);
    this.clients = new seedingClients.SeedingEngineClients(
      new engineClients.ModelEngineClients(this.engines, this.clock),
    );
    const identities = Object.entries(options.vms).map(([name, dataCentre]) =>
      fleetViews.createVmIdentity(name, dataCentre),
    );
    for (const identity of identities) this.addVm(identity, identities);
  }

  /** Returns a VM by name; throws if it is unknown. */
  vm(name: string): GroupedVm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new Error(`no VM is named ${name}`);
    return vm;
  }

  /** Returns a stand-in engine by name; throws if it is unknown. */
  engine(name: string): engineModels.EngineModel {
    const engine = this.engines.get(name);
    if (engine === undefined) throw new Error(`no engine is named ${name}`);
    return engine;
  }

  /** Runs the clock for 1.5 s, so that homes read their engines' load and publish their views. */
  async settle(): Promise<void> {
    await this.clock.runForMs(1_500);
  }

  /** Kills a VM's process; its connections break at once, and the others see it as dead after `noticedAfterMs`. */
  killVm(name: string, noticedAfterMs = 2_000): void {
    this.downVms.add(name);
    this.hub.kill(name);
    void this.vm(name).service[Symbol.asyncDispose]();
    this.clock.schedule(noticedAfterMs, () => this.setVmState(name, fleetTypes.MemberState.Dead));
  }

  /** Whether a VM has been killed. */
  isDown(name: string): boolean {
    return this.downVms.has(name);
  }

  /** Names of the VMs that have not been killed. */
  runningVms(): readonly string[] {
    return [...this.vms.keys()].filter((name) => !this.downVms.has(name));
  }

  /** Pauses a VM's process and delays its peer messages; returns a function that resumes both. */
  pauseVm(name: string): () => void {
    const resumeMessages = this.hub.pause(name);
    this.vm(name).process.pause();
    return () => {
      resumeMessages();
      this.vm(name).process.resume();
    };
  }

  /** Lists the trace events of all VMs about a request in order of wall time, one line each. */
  trace(requestId: string): readonly string[] {
    const events = [...this.vms.values()].flatMap((vm) => vm.tracer.trace(requestId));
    events.sort((left, right) => left.atWallMs - right.atWallMs);
    return events.map(
      ({ atWallMs, vm, step, backend, offset, reason }) =>
        `${atWallMs} ${vm} ${step} ${backend ?? ""} @${offset ?? ""}: ${reason}`,
    );
  }

  /**
   * Partitions two data centres; connections break at once, and each sees the other's VMs as dead
   * after `noticedAfterMs`.
   *
   * @returns a function that ends the partition and makes the running VMs see each other as live
   */
  partition(left: string, right: string, noticedAfterMs: number): () => void {
    const pairs = this.listVmNames(left).flatMap((from) =>
      this.listVmNames(right).map((to) => [from, to] as const),
    );
    const setStates = (state: fleet.MemberState): void => {
      for (const [from, to] of pairs) {
        if (!this.isDown(to)) this.vm(from).fleet.setState(to, state);
        if (!this.isDown(from)) this.vm(to).fleet.setState(from, state);
      }
    };
    for (const [from, to] of pairs) this.hub.cut(from, to);
    const deadTimer = this.clock.schedule(noticedAfterMs, () =>
      setStates(fleetTypes.MemberState.Dead),
    );
    return () => {
      deadTimer[Symbol.dispose]();
      for (const [from, to] of pairs) this.hub.heal(from, to);
      setStates(fleetTypes.MemberState.Live);
    };
  }

  private listVmNames(dataCentre: string): readonly string[] {
    return Object.entries(this.options.vms).flatMap(([name, at]) =>
      at === dataCentre ? [name] : [],
    );
  }

  /** Sets the state of a VM in the fleet views of all VMs. */
  setVmState(name: string, state: fleet.MemberState): void {
    for (const vm of this.vms.values()) vm.fleet.setState(name, state);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  /** Sets an engine's desired state to draining, as an operator does. */
  drainEngine(name: string): void {
    const engine = this.listEngineEntries().find((item) => item.name === name);
    if (engine === undefined) throw new Error(`no engine is named ${name}`);
    this.catalogue.put({ ...engine, state: catalogue.DesiredState.Draining });
  }

  private addVm(identity: fleet.VmIdentity, identities: readonly fleet.VmIdentity[]): void {
    const tracer = new MemoryTracer(identity.name, this.clock);
    const metrics = new counterModels.CounterModel();
    const view = new fleetViews.FakeFleetView(identity, identities);
    const process = new pausableProcesses.PausableProcess(this.clock, this.clients);
    const service = new generations.Generations(
      process,
      this.random.fork(),
      loggers.NOOP_LOGGER,
      metrics,
      tracer,
      this.hub.join(identity.name),
      view,
      this.catalogue,
      process,
    );
    service.start();
    this.resources.add(service);
    const { name } = identity;
    this.vms.set(name, { name, service, fleet: view, process, tracer, metrics });
  }

  private addEngine(name: string): void {
    const options = { ...ENGINE_OPTIONS, ...this.options.engineOptions, name };
    this.engines.set(name, new engineModels.EngineModel(options, this.clock, this.random.fork()));
  }

  private listEngineEntries(): readonly catalogue.EngineBackend[] {
    return Object.entries(this.options.engines).map(([name, dataCentre]) => ({
      kind: catalogue.ItemKind.Engine,
      name,
      dataCentre,
      url: "http://127.0.0.1/",
      memoryTokens: this.options.engineOptions?.capacityTokens ?? ENGINE_OPTIONS.capacityTokens,
      checksFencing: true,
      state: catalogue.DesiredState.Active,
    }));
  }
}

/** Creates a catalogue entry of a streaming generation; `overrides` replaces its fields. */
export function createEntry(
  overrides: Partial<catalogue.GenerationEntry> = {},
): catalogue.GenerationEntry {
  return {
    kind: catalogue.ItemKind.Generation,
    name: "draft",
    owner: "test",
    class: catalogue.RequestClass.Streaming,
    model: "m",
    version: "1",
    maxTokens: 1_000,
    deadlineMs: 60_000,
    maxWaitingCount: 100,
    abandonAfterMs: 10_000,
    keepFinishedMs: 30_000,
    minLoadedEngines: 1,
    objectives: { targetRatio: 0.95 },
    ...overrides,
  };
}

/** Keeps the traces of one VM in memory. */
export class MemoryTracer implements telemetry.Tracer {
  private readonly events = new Map<string, telemetry.TraceEvent[]>();

  constructor(
    private readonly vm: string,
    private readonly clock: virtualClocks.VirtualClock,
  ) {}

  record(requestId: string, event: Omit<telemetry.TraceEvent, "atWallMs" | "vm">): void {
    const events = this.events.get(requestId) ?? [];
    events.push({ atWallMs: this.clock.wallTimeMs(), vm: this.vm, ...event });
    this.events.set(requestId, events);
  }

  /** Returns the events of a request in the order in which they were recorded. */
  trace(requestId: string): readonly telemetry.TraceEvent[] {
    return this.events.get(requestId) ?? [];
  }
}
