import * as catalogueViews from "../../../../../standins/catalogue/view/index.js";
import * as fleetViews from "../../../../../standins/fleet/view/index.js";
import * as counters from "../../../../../standins/telemetry/counters/index.js";
import * as tcpFleets from "../../../../../standins/peers/tcpFleet/index.js";
import * as vms from "../../../../../standins/vms/index.js";
import * as clocks from "../../../../../src/_lib/clock/index.js";
import * as disposableStore from "../../../../../src/_lib/disposableStore/index.js";
import * as loggers from "../../../../../src/_lib/logger/index.js";
import * as randoms from "../../../../../src/_lib/random/index.js";
import type * as backends from "../../../../../src/backends/types.js";
import * as catalogue from "../../../../../src/catalogue/types.js";
import * as generations from "../../../../../src/generations/index.js";
import * as telemetry from "../../../../../src/telemetry/index.js";

/** Time for home VMs to send the views of their engines to the other VMs. */
const VIEW_EXCHANGE_MS = 2_500;

const MEMORY_TOKENS = 1_000_000_000;
const PROMPT_TOKENS = 20;
const DEADLINE_MS = 600_000;

/**
 * Generation services of several VMs in this process, connected by TCP over loopback, with one
 * shared engine.
 */
export class LiveVms implements AsyncDisposable {
  readonly clock = new clocks.SystemClock();
  private readonly services = new Map<string, generations.Generations>();
  private readonly resources = new disposableStore.DisposableStore();
  private requestsCount = 0;

  constructor(
    private readonly vmNames: readonly string[],
    private readonly engine: backends.EngineClient,
  ) {}

  /** Starts the service of every VM and waits until they have exchanged views of the engine. */
  async start(): Promise<void> {
    const fleet = this.resources.add(new tcpFleets.TcpFleet());
    const identities = this.vmNames.map((name) => fleetViews.createVmIdentity(name, "dc1"));
    const view = new catalogueViews.FakeCatalogueView([vms.createEntry(), this.createEngineItem()]);
    for (const identity of identities) {
      const service = new generations.Generations(
        this.clock,
        randoms.createRandom(7),
        loggers.NOOP_LOGGER,
        new counters.CounterModel(),
        telemetry.NOOP_TRACER,
        await fleet.start(identity.name),
        new fleetViews.FakeFleetView(identity, identities),
        view,
        { clientFor: () => this.engine },
      );
      service.start();
      this.resources.add(service);
      this.services.set(identity.name, service);
    }
    await this.clock.sleep(VIEW_EXCHANGE_MS);
  }

  /** Returns the engine's home and another VM; with a single VM, both are the home. */
  selectRoles(): { readonly home: string; readonly other: string } {
    const members = this.vmNames.map((name) => ({
      ...fleetViews.createVmIdentity(name, "dc1"),
      state: "live" as never,
      incarnation: 1,
    }));
    const home = generations.selectHome({ name: this.engine.name, dataCentre: "dc1" }, members);
    if (home === null) throw new Error(`no VM is the home of engine ${this.engine.name}`);
    return { home, other: this.vmNames.find((name) => name !== home) ?? home };
  }

  /** Submits a generation at a VM; throws if the VM is unknown or refuses it. */
  async submit(vmName: string, maxTokens: number): Promise<generations.GenerationHandle> {
    const service = this.services.get(vmName);
    if (service === undefined) throw new Error(`unknown VM ${vmName}`);
    this.requestsCount += 1;
    const result = await service.submit({
      requestId: service.createRequestId(),
      entry: vms.createEntry({ maxTokens }),
      accountName: "bench",
      prompt: `prompt ${this.requestsCount}`,
      promptTokens: PROMPT_TOKENS,
      maxTokens,
      isStreamed: true,
      deadlineAtWallMs: this.clock.wallTimeMs() + DEADLINE_MS,
    });
    if (result.isErr()) throw result.error;
    return result.value;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private createEngineItem(): catalogue.EngineBackend {
    return {
      kind: catalogue.ItemKind.Engine,
      name: this.engine.name,
      dataCentre: "dc1",
      url: "http://127.0.0.1/",
      memoryTokens: MEMORY_TOKENS,
      checksFencing: true,
      state: catalogue.DesiredState.Active,
    };
  }
}
