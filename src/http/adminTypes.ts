import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";
import type * as fleet from "../fleet/types.js";
import type * as generations from "../generations/types.js";
import type * as telemetry from "../telemetry/types.js";

/** State of one VM: readiness, applied catalogue offset, uptime and counters. */
export interface VmDescription {
  readonly vm: fleet.VmIdentity;
  readonly isReady: boolean;
  readonly reason: string;
  readonly appliedOffset: number;
  readonly upForMs: number;
  readonly counters: Readonly<Record<string, number>>;
}

/** One member of the fleet, and the catalogue offset that it has applied; null without an answer. */
export interface NodeDescription {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly state: fleet.MemberState;
  readonly incarnation: number;
  readonly appliedOffset: number | null;
}

/** A value gathered from several VMs. */
export interface Gathered<T> {
  readonly value: T;
  /** VMs that did not answer; the value lacks their part. */
  readonly missingVms: readonly string[];
}

/** State of one backend server: an engine as its home sees it, or a plain server as a VM sees it. */
export interface BackendDescription {
  readonly name: string;
  readonly kind: "engine" | "service";
  readonly dataCentre: string;
  readonly home: string | null;
  readonly state: string;
  readonly reservedRatio: number | null;
  readonly runningCount: number | null;
  readonly detail: string;
}

/** A waiting generation and the VM at which it waits. */
export interface QueueDescription extends generations.WaitingGeneration {
  readonly vm: string;
}

/** The work of an engine, and why the engine accepts or refuses more. */
export interface EngineExplanation extends generations.EngineStatus {
  readonly home: string;
}

/** A catalogue change as an operator sends it; the server adds the operator's name. */
export type ProposedChange = Omit<catalogue.ChangeRecord, "type" | "operator">;

/** An accepted change and the revision that it created. */
export interface AcceptedChange {
  readonly changeId: string;
  readonly revision: number;
}

/** One past change of an item. */
export interface HistoryLine {
  readonly offset: number;
  readonly atWallMs: number;
  readonly operator: string;
  readonly changeId: string;
  /** The revision that the change is based on; null for a new item. */
  readonly baseRevision: number | null;
  readonly item: catalogue.CatalogueItem | null;
}

/** Result of an admin operation, or the error to send. */
export type AdminResult<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/** The operations that the operators' port offers. */
export interface AdminOperations {
  describeVm(): VmDescription;
  listNodes(): AdminResult<Gathered<readonly NodeDescription[]>>;
  listBackends(): AdminResult<Gathered<readonly BackendDescription[]>>;
  listQueue(): AdminResult<Gathered<readonly QueueDescription[]>>;
  explainRequest(requestId: string): AdminResult<Gathered<readonly telemetry.TraceEvent[]>>;
  explainEngine(engineName: string): AdminResult<EngineExplanation>;
  gatherBurn(): AdminResult<Gathered<readonly telemetry.BurnSeries[]>>;
  listItems(): readonly catalogue.RevisedItem[];
  proposeChange(change: ProposedChange, operator: string): AdminResult<AcceptedChange>;
  readHistory(kind: catalogue.ItemKind, name: string): AdminResult<readonly HistoryLine[]>;
}
