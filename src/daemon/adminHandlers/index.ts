import * as neverthrow from "neverthrow";

import type * as clocks from "../../_lib/clock/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import type * as calls from "../../calls/index.js";
import * as catalogue from "../../catalogue/index.js";
import type * as fleet from "../../fleet/types.js";
import type * as generations from "../../generations/index.js";
import type * as http from "../../http/index.js";
import type * as peers from "../../peers/types.js";
import * as telemetry from "../../telemetry/index.js";
import * as descriptions from "../_lib/describeBackends.js";
import * as gathering from "../gatherFromVms/index.js";

/** Dependencies of the admin operations. */
export interface AdminHandlersParts {
  readonly clock: clocks.Clock;
  readonly fleetView: fleet.FleetView;
  readonly peerNetwork: peers.PeerNetwork;
  readonly catalogue: catalogue.CatalogueReplica;
  readonly generations: generations.Generations;
  readonly calls: calls.Calls;
  readonly tracer: telemetry.TraceRing;
  readonly burn: telemetry.BurnRecorder;
  readonly hub: telemetry.TelemetryHub;
  readonly readiness: () => http.Readiness;
}

/** Peer methods that return a VM's part of an answer to operators. */
enum GatherMethod {
  Trace = "admin.trace",
  Burn = "admin.burn",
  Backends = "admin.backends",
  Queue = "admin.queue",
  Engines = "admin.engines",
}

/** Implements the admin operations, and returns this VM's part of an answer to other VMs. */
export class AdminHandlers implements http.AdminOperations, Disposable {
  private readonly registrations: readonly Disposable[];
  private readonly startedAtMs: number;

  constructor(private readonly parts: AdminHandlersParts) {
    this.startedAtMs = parts.clock.nowMs();
    const handlers: Readonly<Record<GatherMethod, peers.PeerHandler>> = {
      [GatherMethod.Trace]: (requestId) => parts.tracer.trace(String(requestId)),
      [GatherMethod.Burn]: () => parts.burn.report(),
      [GatherMethod.Backends]: () => this.describeOwnBackends(),
      [GatherMethod.Queue]: () => this.describeOwnQueue(),
      [GatherMethod.Engines]: (name) => this.describeOwnEngines(String(name)),
    };
    this.registrations = Object.entries(handlers).map(([method, handler]) =>
      parts.peerNetwork.register(method, handler),
    );
  }

  describeVm(): http.VmDescription {
    const { clock, fleetView, catalogue: replica, hub, readiness } = this.parts;
    return {
      vm: fleetView.self,
      ...readiness(),
      appliedOffset: replica.appliedOffset,
      upForMs: clock.nowMs() - this.startedAtMs,
      counters: hub.counters(),
    };
  }

  async listNodes(): http.AdminResult<http.Gathered<readonly http.NodeDescription[]>> {
    const offsets = new Map(
      (await this.parts.catalogue.status()).map((status) => [status.vm, status.appliedOffset]),
    );
    const value = this.parts.fleetView.members().map((member) => ({
      name: member.name,
      region: member.region,
      dataCentre: member.dataCentre,
      state: member.state,
      incarnation: member.incarnation,
      appliedOffset: offsets.get(member.name) ?? null,
    }));
    const missingVms = value.filter((node) => node.appliedOffset === null).map(({ name }) => name);
    return neverthrow.ok({ value, missingVms });
  }

  async listBackends(): http.AdminResult<http.Gathered<readonly http.BackendDescription[]>> {
    const gathered = await this.gather(GatherMethod.Backends, null, this.describeOwnBackends());
    const value = descriptions.mergeBackends(this.parts.catalogue.current(), gathered.value.flat());
    return neverthrow.ok({ ...gathered, value });
  }

  async listQueue(): http.AdminResult<http.Gathered<readonly http.QueueDescription[]>> {
    const gathered = await this.gather(GatherMethod.Queue, null, this.describeOwnQueue());
    return neverthrow.ok({ ...gathered, value: gathered.value.flat() });
  }

  async explainRequest(
    requestId: string,
  ): http.AdminResult<http.Gathered<readonly telemetry.TraceEvent[]>> {
    const own = this.parts.tracer.trace(requestId);
    const gathered = await this.gather(GatherMethod.Trace, requestId, own);
    return neverthrow.ok({ ...gathered, value: gathered.value.flat() });
  }

  async explainEngine(engineName: string): http.AdminResult<http.EngineExplanation> {
    const own = this.describeOwnEngines(engineName);
    const gathered = await this.gather(GatherMethod.Engines, engineName, own);
    const [engine] = gathered.value.flat();
    if (engine !== undefined) return neverthrow.ok(engine);
    return neverthrow.err(
      createNotFoundError(`no VM reported that it is the home of engine "${engineName}"`),
    );
  }

  async gatherBurn(): http.AdminResult<http.Gathered<readonly telemetry.BurnSeries[]>> {
    const gathered = await this.gather(GatherMethod.Burn, null, this.parts.burn.report());
    return neverthrow.ok({ ...gathered, value: telemetry.mergeBurn(gathered.value) });
  }

  listItems(): readonly catalogue.RevisedItem[] {
    return [...this.parts.catalogue.current().items.values()];
  }

  async proposeChange(
    change: http.ProposedChange,
    operator: string,
  ): http.AdminResult<http.AcceptedChange> {
    const record: catalogue.ChangeRecord = { ...change, type: "change", operator };
    const proposed = await this.parts.catalogue.propose(record);
    return proposed.andThen((outcome) => descriptions.toAcceptedChange(record, outcome));
  }

  async readHistory(
    kind: catalogue.ItemKind,
    name: string,
  ): http.AdminResult<readonly http.HistoryLine[]> {
    const history = await this.parts.catalogue.history(kind, name);
    return history.map((entries) => entries.map(descriptions.describeChange));
  }

  [Symbol.dispose](): void {
    for (const handler of this.registrations) handler[Symbol.dispose]();
  }

  private async gather<T>(
    method: GatherMethod,
    params: unknown,
    own: T,
  ): Promise<http.Gathered<readonly T[]>> {
    const gathered = await gathering.gatherFromVms(this.parts, method, params, own);
    return { ...gathered, value: gathered.value.map((part) => part.value) };
  }

  private describeOwnBackends(): readonly http.BackendDescription[] {
    const { fleetView, generations: service, calls: callService } = this.parts;
    const selfName = fleetView.self.name;
    return [
      ...descriptions.describeEngineBackends(selfName, service.describeEngines()),
      ...descriptions.describeServiceBackends(selfName, callService.describe()),
    ];
  }

  private describeOwnQueue(): readonly http.QueueDescription[] {
    const selfName = this.parts.fleetView.self.name;
    return this.parts.generations.describeQueue().map((waiting) => ({ ...waiting, vm: selfName }));
  }

  private describeOwnEngines(name: string): readonly http.EngineExplanation[] {
    const selfName = this.parts.fleetView.self.name;
    return this.parts.generations
      .describeEngines()
      .filter((engine) => engine.view.name === name)
      .map((engine) => ({ ...engine, home: selfName }));
  }
}

function createNotFoundError(message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.NotFound,
    step: "admin.explain",
    execution: stepError.ExecutionState.NotRun,
  });
}
