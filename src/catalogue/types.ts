/** Urgency class of a request. */
export enum RequestClass {
  /** A person waits for the whole answer. */
  Interactive = "interactive",
  /** A person reads the answer while it is streamed. */
  Streaming = "streaming",
  /** Work that can be delayed but has to finish. */
  Batch = "batch",
}

/** Kind of a catalogue item. */
export enum ItemKind {
  Generation = "generation",
  Call = "call",
  Account = "account",
  Engine = "engine",
  Service = "service",
  Vm = "vm",
}

/** Whether a call may be executed more than once. */
export enum CallSemantics {
  Idempotent = "idempotent",
  OnceOnly = "once-only",
}

/** How a call with an idempotency key is treated while the log is unavailable. */
export enum LogOutagePolicy {
  Wait = "wait",
  Refuse = "refuse",
}

/** Whether a backend server or VM should receive new work, as set by operators. */
export enum DesiredState {
  Active = "active",
  Draining = "draining",
}

/** Service-level objectives of an entry, all optional. */
export interface Objectives {
  readonly firstTokenMs?: number;
  readonly interTokenMs?: number;
  /** Stall time: time per request that the caller waits without progress. */
  readonly stallMs?: number;
  /** Ratio of requests that must meet each objective, e.g. 0.95. */
  readonly targetRatio: number;
}

interface ItemBase {
  readonly name: string;
}

/** A catalogue entry for a model; callers name it in `model`. */
export interface GenerationEntry extends ItemBase {
  readonly kind: ItemKind.Generation;
  readonly owner: string;
  readonly class: RequestClass;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  /** Maximum number of the entry's requests that wait at one VM; further ones are refused. */
  readonly maxWaitingCount: number;
  /** Time after which a request without connected callers is cancelled; null lets it finish and be retained. */
  readonly abandonAfterMs: number | null;
  /** Time for which a finished generation is retained for its callers. */
  readonly keepFinishedMs: number;
  /** Minimum number of engines with the model loaded, also while models are loaded and unloaded. */
  readonly minLoadedEngines: number;
  readonly objectives: Objectives;
}

/** A catalogue entry for a call to a plain service. */
export interface CallEntry extends ItemBase {
  readonly kind: ItemKind.Call;
  readonly owner: string;
  readonly class: RequestClass;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly semantics: CallSemantics;
  /** Path for looking up a once-only call's outcome; `{key}` is replaced by the idempotency key. */
  readonly statusPath?: string;
  readonly keyRequired: boolean;
  readonly keyRetentionMs: number;
  readonly logOutage: LogOutagePolicy;
  readonly deadlineMs: number;
  readonly objectives: Objectives;
}

/** A client account; keys are held only as hashes. */
export interface ClientAccount extends ItemBase {
  readonly kind: ItemKind.Account;
  readonly owner: string;
  /** SHA-256 of each key, as lower-case hex. */
  readonly keyHashes: readonly string[];
  readonly requestsPerSecond: number;
  readonly concurrentRequests: number;
  readonly tokensPerSecond: number;
}

/** A model engine. */
export interface EngineBackend extends ItemBase {
  readonly kind: ItemKind.Engine;
  readonly dataCentre: string;
  readonly url: string;
  readonly memoryTokens: number;
  readonly checksFencing: boolean;
  /** Number of models that fit at the same time; if missing, the engine gets no load orders. */
  readonly modelSlotsCount?: number;
  readonly state: DesiredState;
}

/** A server of a plain service. */
export interface ServiceBackend extends ItemBase {
  readonly kind: ItemKind.Service;
  readonly service: string;
  readonly dataCentre: string;
  readonly url: string;
  readonly state: DesiredState;
}

/** An entry VM with the state that operators want it to have. */
export interface VmItem extends ItemBase {
  readonly kind: ItemKind.Vm;
  readonly state: DesiredState;
}

/** Any catalogue item. */
export type CatalogueItem =
  GenerationEntry | CallEntry | ClientAccount | EngineBackend | ServiceBackend | VmItem;

/** An item with the revision at which it last changed: the offset of the change in the log. */
export interface RevisedItem {
  readonly item: CatalogueItem;
  readonly revision: number;
}

/** One change as an operator proposes it; it is also the log record's payload. */
export interface ChangeRecord {
  readonly type: "change";
  readonly changeId: string;
  readonly operator: string;
  readonly kind: ItemKind;
  readonly name: string;
  /** The item's revision on which the change is based; null if the item must not exist yet. */
  readonly baseRevision: number | null;
  /** The new item; null removes it. */
  readonly item: CatalogueItem | null;
}

/** The catalogue as applied up to an offset; immutable. */
export interface CatalogueState {
  /** Offset of the last record applied; -1 before the first. */
  readonly appliedOffset: number;
  /** Items by `kind/name`. */
  readonly items: ReadonlyMap<string, RevisedItem>;
}

/** Outcome of a record of the catalogue's stream. */
export enum ChangeOutcomeKind {
  Accepted = "accepted",
  /** The change does not fit the item's current revision, e.g. because another change was applied first. */
  Conflict = "conflict",
  /** The change id was used before; the record has no effect. */
  Repeated = "repeated",
  /** The record violates the format or a rule; every VM skips it. */
  Invalid = "invalid",
  /** Part of a snapshot; it changes nothing. */
  Snapshot = "snapshot",
  /** The offset was applied before. */
  Stale = "stale",
}

/** The outcome of one record; the same at every VM. */
export interface ChangeOutcome {
  readonly kind: ChangeOutcomeKind;
  readonly offset: number;
  readonly changeId: string | null;
  /** The reason, for operators; empty for an accepted change. */
  readonly reason: string;
  /** The item's revision after the record; null if there is no such item. */
  readonly currentRevision: number | null;
}

/** Result of a proposed change, for the operator. */
export interface ProposalOutcome {
  readonly isAccepted: boolean;
  readonly changeId: string;
  /** Offset of the record that decided it; null if it was rejected before it reached the log. */
  readonly offset: number | null;
  readonly reason: string;
  readonly currentRevision: number | null;
  readonly currentItem: CatalogueItem | null;
}

/** An error in an operator's document. */
export interface DocumentIssue {
  /** Path in the document, e.g. `[2].deadlineMs`. */
  readonly path: string;
  /** Line in the document, from 1. */
  readonly line: number;
  readonly message: string;
}

/** One field in which two items differ. */
export interface ItemDifference {
  readonly path: string;
  /** Undefined if the earlier item lacks the field. */
  readonly before: unknown;
  /** Undefined if the later item lacks the field. */
  readonly after: unknown;
}

/** A record of the retained log that concerns one item. */
export interface ItemHistoryEntry {
  readonly offset: number;
  readonly appendedAtWallMs: number;
  readonly change: ChangeRecord;
}

/** The offset up to which a VM has applied the catalogue. */
export interface VmCatalogueStatus {
  readonly vm: string;
  /** Null if the VM did not answer. */
  readonly appliedOffset: number | null;
  readonly isReady: boolean;
}

/** Read access to the catalogue for other modules. */
export interface CatalogueView {
  current(): CatalogueState;
  /** Calls the listener with the new state after each applied batch, until disposed. */
  onChange(listener: (state: CatalogueState) => void): Disposable;
}
