import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";
import type * as catalogue from "../catalogue/types.js";
import type * as fleet from "../fleet/types.js";
import type * as generations from "../generations/types.js";
import type * as telemetry from "../telemetry/types.js";

/** One VM's account of itself. */
export interface VmDescription {
  readonly vm: fleet.VmIdentity;
  readonly isReady: boolean;
  readonly reason: string;
  readonly appliedOffset: number;
  readonly upForMs: number;
  readonly counters: Readonly<Record<string, number>>;
}

/** One member of the fleet, with the catalogue offset it has in force; null where it did not answer. */
export interface NodeDescription {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  readonly state: fleet.MemberState;
  readonly incarnation: number;
  readonly appliedOffset: number | null;
}

/** Answers gathered from several VMs. */
export interface Gathered<T> {
  readonly value: T;
  /** VMs that did not answer; what they hold is missing from the value. */
  readonly missingVms: readonly string[];
}

/** One backend server as its home or this VM sees it. */
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

/** A request that waits, and the VM at which it does. */
export interface QueueDescription extends generations.WaitingGeneration {
  readonly vm: string;
}

/** What an engine holds and why it takes or refuses work. */
export interface EngineExplanation extends generations.EngineStatus {
  readonly home: string;
}

/** A change as an operator sends it; the server adds the operator's name. */
export type ProposedChange = Omit<catalogue.ChangeRecord, "type" | "operator">;

/** How an accepted change stands. */
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
  /** The revision that the change built on; null for a new item. */
  readonly baseRevision: number | null;
  readonly item: catalogue.CatalogueItem | null;
}

/** Result of an operation for operators. */
export type AdminResult<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/** What the operators' port can ask of a daemon. */
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
