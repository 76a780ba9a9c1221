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
  /** Why the VM is not ready; `ready` if it is. */
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
  /** The engine's home; null for a plain server, or if no VM reported the engine. */
  readonly home: string | null;
  readonly state: string;
  /** Reserved fraction of the engine's memory; null for a plain server, or if not reported. */
  readonly reservedRatio: number | null;
  /** Number of runs on the engine, or of requests in flight to the server; null if not reported. */
  readonly runningCount: number | null;
  /** Refusal reason, failures or use of the server, as text for operators. */
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

/** One change of an item that the log holds, whether it was accepted or refused. */
export interface HistoryLine {
  readonly offset: number;
  readonly atWallMs: number;
  readonly operator: string;
  readonly changeId: string;
  /** The revision that the change is based on; null for a new item. */
  readonly baseRevision: number | null;
  /** The proposed item; null for a removal. */
  readonly item: catalogue.CatalogueItem | null;
}

/** Result of an admin operation, or the error to send. */
export type AdminResult<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/** The operations that the operators' port offers. */
export interface AdminOperations {
  /** Describes the VM that receives the request. */
  describeVm(): VmDescription;
  /** Lists the members of the fleet. */
  listNodes(): AdminResult<Gathered<readonly NodeDescription[]>>;
  /** Lists the catalogue's backend servers with their state. */
  listBackends(): AdminResult<Gathered<readonly BackendDescription[]>>;
  /** Lists the generations that wait at any VM. */
  listQueue(): AdminResult<Gathered<readonly QueueDescription[]>>;
  /** Gathers the trace events of a request. */
  explainRequest(requestId: string): AdminResult<Gathered<readonly telemetry.TraceEvent[]>>;
  /** Explains an engine's state as its home sees it; `not-found` if no VM is its home. */
  explainEngine(engineName: string): AdminResult<EngineExplanation>;
  /** Gathers the burn series of all VMs and merges them. */
  gatherBurn(): AdminResult<Gathered<readonly telemetry.BurnSeries[]>>;
  /** Lists the catalogue's items from this VM's replica. */
  listItems(): readonly catalogue.RevisedItem[];
  /** Proposes a catalogue change; an error with code `conflict` if it is refused. */
  proposeChange(change: ProposedChange, operator: string): AdminResult<AcceptedChange>;
  /** Reads the changes of an item that the log still holds. */
  readHistory(kind: catalogue.ItemKind, name: string): AdminResult<readonly HistoryLine[]>;
}
