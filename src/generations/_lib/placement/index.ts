import type * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as stepError from "../../../_lib/stepError/index.js";
import type * as catalogue from "../../../catalogue/types.js";
import * as catalogueTypes from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import * as selectHomes from "../../selectHome/index.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import type * as records from "../generationRecord/index.js";
import type * as views from "../engineViews/index.js";

/** An engine, and the home through which a generation is dispatched to it. */
export interface Target {
  readonly engine: catalogue.EngineBackend;
  readonly homeVm: string;
  /** Attempt number of the engine's stream to resume; null to start a new one. */
  readonly resumeAttempt: number | null;
  /** Whether the engine's home offered capacity for this generation, or suspended its last run. */
  readonly isOffered: boolean;
}

interface PlacementServices {
  readonly context: contexts.GenerationContext;
  readonly views: views.EngineViews;
  readonly avoidance: Avoidance;
}

/** VMs and engines that are excluded from selection, most of them for a limited time. */
export class Avoidance {
  private readonly excludedVms = new Set<string>();
  private readonly vmAvoidedUntilMs = new Map<string, number>();
  private readonly engineAvoidedUntilMs = new Map<string, number>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Excludes a VM for `VM_AVOIDANCE_MS`. */
  avoidVm(vmName: string): void {
    this.vmAvoidedUntilMs.set(vmName, this.clock.nowMs() + constants.VM_AVOIDANCE_MS);
  }

  /** Excludes a VM permanently, such as this one once it shuts down. */
  excludeVm(vmName: string): void {
    this.excludedVms.add(vmName);
  }

  /** Excludes an engine for `ENGINE_AVOIDANCE_MS`. */
  avoidEngine(engineName: string): void {
    this.engineAvoidedUntilMs.set(engineName, this.clock.nowMs() + constants.ENGINE_AVOIDANCE_MS);
  }

  isVmAvoided(vmName: string): boolean {
    if (this.excludedVms.has(vmName)) return true;
    return (this.vmAvoidedUntilMs.get(vmName) ?? 0) > this.clock.nowMs();
  }

  isEngineAvoided(engineName: string): boolean {
    return (this.engineAvoidedUntilMs.get(engineName) ?? 0) > this.clock.nowMs();
  }
}

/** Selects engine and home for the next attempt: the engine of the last run, else the best one. */
export function selectTarget(
  services: PlacementServices,
  record: records.GenerationRecord,
  preferredEngine: string | null,
): Target | null {
  if (record.run !== null) {
    const engine = findEngine(services.context, record.run.engineName);
    const target = engine && createTarget(services, engine, record.run.engineAttempt);
    if (target) return target;
  }
  const engineName = services.views.selectEngine(record, preferredEngine, (name) =>
    services.avoidance.isEngineAvoided(name),
  );
  const engine = engineName === null ? null : findEngine(services.context, engineName);
  const target = engine && createTarget(services, engine, null);
  return target && { ...target, isOffered: engineName === preferredEngine };
}

/** Dispatches a generation to a home under a new attempt. */
export async function dispatch(
  services: PlacementServices,
  record: records.GenerationRecord,
  target: Target,
): Promise<neverthrow.Result<messages.DispatchAnswer, stepError.StepError>> {
  record.attempt += 1;
  const params: messages.DispatchRequest = {
    snapshot: record.snapshot(),
    engineName: target.engine.name,
    resumeAttempt: target.resumeAttempt,
    isOffered: target.isOffered,
  };
  services.views.recordSent(target.engine.name, record.request.promptTokens);
  return services.context.link.call(
    target.homeVm,
    messages.Method.Dispatch,
    params,
    messages.dispatchAnswerSchema,
  );
}

/** Asks a home whether it still runs a generation; a home that does resends missing tokens. */
export async function probe(
  services: PlacementServices,
  record: records.GenerationRecord,
  run: messages.RunLocation,
): Promise<"running" | "unknown" | "unreachable"> {
  const { requestId, attempt } = record;
  const params = { requestId, attempt, offset: record.tokens.length };
  const answer = await services.context.link.call(
    run.homeVm,
    messages.Method.Probe,
    params,
    messages.probeAnswerSchema,
  );
  if (answer.isErr()) return "unreachable";
  return answer.value.isRunning ? "running" : "unknown";
}

function createTarget(
  services: PlacementServices,
  engine: catalogue.EngineBackend,
  resumeAttempt: number | null,
): Target | null {
  const members = services.context.fleet.members();
  const homeVm = selectHomes.selectHome(engine, members, (vmName) =>
    services.avoidance.isVmAvoided(vmName),
  );
  return homeVm === null ? null : { engine, homeVm, resumeAttempt, isOffered: false };
}

function findEngine(
  context: contexts.GenerationContext,
  engineName: string,
): catalogue.EngineBackend | null {
  const item = context.catalogue.current().items.get(`engine/${engineName}`)?.item;
  return item?.kind === catalogueTypes.ItemKind.Engine ? item : null;
}
