import * as logger from "../../src/_lib/logger/index.js";
import * as random from "../../src/_lib/random/index.js";
import * as virtualClock from "../../src/_lib/virtualClock/index.js";
import type * as backends from "../../src/backends/types.js";
import * as calls from "../../src/calls/index.js";
import * as catalogue from "../../src/catalogue/index.js";
import * as fleetTypes from "../../src/fleet/types.js";
import * as appendBudgets from "../../src/controlPlane/appendBudget/index.js";
import * as replication from "../../src/replication/index.js";
import * as catalogueView from "../catalogue/view/index.js";
import * as fleetModel from "../fleet/model/index.js";
import * as logLink from "../log/link/index.js";
import * as logModel from "../log/model/index.js";
import * as hub from "../peers/hub/index.js";
import * as serviceClients from "../service/clients/index.js";
import * as counters from "../telemetry/counters/index.js";
import * as gate from "../vmGate/index.js";

/** A VM's clients of the plain service; while the VM is paused they neither send requests nor deliver responses. */
class GatedServiceClients implements backends.ServiceClients {
  constructor(
    private readonly clients: backends.ServiceClients,
    private readonly vmGate: gate.Gate,
  ) {}

  clientFor(backend: catalogue.ServiceBackend): backends.ServiceClient {
    const client = this.clients.clientFor(backend);
    return {
      name: client.name,
      call: async (request) => {
        await this.vmGate.waitUntilResumed();
        const result = await client.call(request);
        await this.vmGate.waitUntilResumed();
        return result;
      },
    };
  }
}

/** One VM of a CallsFleet. */
export interface CallsVm {
  readonly name: string;
  readonly calls: calls.Calls;
  readonly log: logLink.LogLink;
  readonly gate: gate.Gate;
}

const SERVERS = [
  ["ledger-a", "dc-a"],
  ["ledger-b", "dc-b"],
] as const;

/** Several VMs that serve calls, with one log, one peer hub and one plain service, on a virtual clock. */
export class CallsFleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly log = new logModel.LogModel(this.clock, LOG_OPTIONS);
  readonly hub = new hub.PeerHub(this.clock);
  readonly fleet = new fleetModel.FleetModel();
  readonly service = new serviceClients.ServiceClientsModel(this.clock);
  readonly counters = new counters.CounterModel();
  readonly catalogue = new catalogueView.FakeCatalogueView(SERVERS.map(createServerEntry));
  readonly vms: CallsVm[] = [];
  private requestsCount = 0;
  private readonly downLog = new logModel.LogModel(this.clock, LOG_OPTIONS);

  constructor(private readonly seed = 1) {
    this.downLog.inject(logModel.LogFault.Down);
  }

  /** Starts a VM and adds it to the fleet. */
  start(
    name: string,
    dataCentre = "dc-a",
    options: Partial<replication.FollowerOptions> = {},
  ): CallsVm {
    this.fleet.add(name, dataCentre);
    const vmGate = new gate.Gate();
    const log = new logLink.LogLink(this.log, this.downLog, vmGate, this.clock);
    const clock = new gate.GatedClock(this.clock, vmGate);
    const service = new calls.Calls(
      clock,
      random.createRandom(this.seed),
      logger.NOOP_LOGGER,
      this.counters,
      this.counters,
      log,
      this.hub.join(name),
      this.fleet.viewOf(name),
      this.catalogue,
      new GatedServiceClients(this.service, vmGate),
      new appendBudgets.AppendBudget(clock, () => Math.max(1, this.vms.length)),
      { ...replication.DEFAULT_FOLLOWER_OPTIONS, ...options },
    );
    service.start();
    const vm = { name, calls: service, log, gate: vmGate };
    this.vms.push(vm);
    return vm;
  }

  /** Creates a once-only request; `entry` overrides fields of its catalogue entry. */
  request(
    key: string | null,
    body = "body",
    entry: Partial<catalogue.CallEntry> = {},
    deadlineMs = 10_000,
  ): calls.CallRequest {
    this.requestsCount += 1;
    return {
      requestId: `request-${this.requestsCount}`,
      entry: { ...ENTRY, ...entry },
      accountName: "account",
      idempotencyKey: key,
      contentType: "application/json",
      body: new TextEncoder().encode(body),
      deadlineAtWallMs: this.clock.wallTimeMs() + deadlineMs,
    };
  }

  /** Runs the clock until the work is done; throws if that takes longer than `limitMs`. */
  async settle<T>(work: Promise<T>, limitMs = 120_000): Promise<T> {
    const progress = { isDone: false };
    void work.finally(() => (progress.isDone = true)).catch(() => undefined);
    for (let ms = 0; ms < limitMs && !progress.isDone; ms += STEP_MS) {
      await this.clock.runForMs(STEP_MS);
    }
    if (!progress.isDone)
      throw new Error(`the awaited work did not finish within ${limitMs} ms of virtual time`);
    return work;
  }

  /** Kills a VM without a leave message; it sends and receives nothing more, and the others see it as dead. */
  kill(vm: CallsVm): void {
    vm.gate.pause();
    this.hub.kill(vm.name);
    this.fleet.setState(vm.name, fleetTypes.MemberState.Dead);
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.settle(Promise.all(this.vms.map((vm) => vm.calls[Symbol.asyncDispose]())));
  }
}

/** Returns an answer's text, or the execution state of the error. */
export function getOutcome(result: Awaited<ReturnType<calls.Calls["call"]>>): string {
  if (result.isErr()) return result.error.execution;
  return decodeBody(result.value);
}

const STEP_MS = 20;
const LOG_OPTIONS = { ...logModel.DEFAULT_LOG_OPTIONS, retentionMs: 86_400_000 };

const ENTRY: catalogue.CallEntry = {
  kind: catalogue.ItemKind.Call,
  name: "register",
  owner: "owner",
  class: catalogue.RequestClass.Interactive,
  service: "ledger",
  method: "POST",
  path: "/tags",
  semantics: catalogue.CallSemantics.OnceOnly,
  keyRequired: true,
  keyRetentionMs: 3_600_000,
  logOutage: catalogue.LogOutagePolicy.Wait,
  deadlineMs: 10_000,
  objectives: { targetRatio: 0.95 },
};

function createServerEntry([name, dataCentre]: readonly [
  string,
  string,
]): catalogue.ServiceBackend {
  const kind = catalogue.ItemKind.Service;
  const state = catalogue.DesiredState.Active;
  return { kind, name, service: "ledger", dataCentre, url: "http://127.0.0.1:1", state };
}

function decodeBody(answer: backends.ServiceAnswer): string {
  return new TextDecoder().decode(answer.body);
}
