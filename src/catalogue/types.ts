/** How urgently a request's caller needs it. */
export enum RequestClass {
  /** Someone is standing there and waits for the whole answer. */
  Interactive = "interactive",
  /** Someone watches the answer unfold. */
  Streaming = "streaming",
  /** Work that may wait, but has to finish. */
  Batch = "batch",
}

/** Kinds of items in the catalogue. */
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

/** What happens to a keyed call while the log is down. */
export enum LogOutagePolicy {
  Wait = "wait",
  Refuse = "refuse",
}

/** Whether operators want new work sent to a backend server or VM. */
export enum DesiredState {
  Active = "active",
  Draining = "draining",
}

/** Service-level objectives of an entry, all optional. */
export interface Objectives {
  readonly firstTokenMs?: number;
  readonly interTokenMs?: number;
  /** Time a caller waits without seeing progress, per request. */
  readonly stallMs?: number;
  /** Share of requests that must meet each objective, e.g. 0.95. */
  readonly targetRatio: number;
}

interface ItemBase {
  readonly name: string;
}

/** A catalogue entry that callers name in `model`. */
export interface GenerationEntry extends ItemBase {
  readonly kind: ItemKind.Generation;
  readonly owner: string;
  readonly class: RequestClass;
  readonly model: string;
  readonly version: string;
  readonly adapter?: string;
  readonly maxTokens: number;
  readonly deadlineMs: number;
  readonly maxWaitingCount: number;
  /** A request whose caller has gone is cancelled after this time; null lets it finish and keeps it. */
  readonly abandonAfterMs: number | null;
  readonly keepFinishedMs: number;
  /** Never fewer engines than this with the model loaded, also while loads change. */
  readonly minLoadedEngines: number;
  readonly objectives: Objectives;
}

/** A catalogue entry for a plain service's call. */
export interface CallEntry extends ItemBase {
  readonly kind: ItemKind.Call;
  readonly owner: string;
  readonly class: RequestClass;
  readonly service: string;
  readonly method: string;
  readonly path: string;
  readonly semantics: CallSemantics;
  /** Where a once-only call's outcome can be looked up; `{key}` stands for the idempotency key. */
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
  /** Models that fit at the same time; without it, the engine is given no orders to load any. */
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

/** What operators say about an entry VM. */
export interface VmItem extends ItemBase {
  readonly kind: ItemKind.Vm;
  readonly state: DesiredState;
}

/** Anything that the catalogue holds. */
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
  /** The revision the change builds on; null where the item must not exist yet. */
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

/** What became of a record of the catalogue's stream. */
export enum ChangeOutcomeKind {
  Accepted = "accepted",
  /** Another change to the item came first. */
  Conflict = "conflict",
  /** The change id was seen before; the record has no effect. */
  Repeated = "repeated",
  /** The record breaks the format or a rule, and is skipped everywhere. */
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
  /** Why, in plain words; empty for an accepted change. */
  readonly reason: string;
  /** The item's revision after the record; null where there is no such item. */
  readonly currentRevision: number | null;
}

/** What an operator is told about a proposed change. */
export interface ProposalOutcome {
  readonly isAccepted: boolean;
  readonly changeId: string;
  /** Offset of the record that settled it; null where it was refused before it reached the log. */
  readonly offset: number | null;
  readonly reason: string;
  readonly currentRevision: number | null;
  readonly currentItem: CatalogueItem | null;
}

/** One mistake in an operator's document. */
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
  /** Undefined where the field is missing on that side. */
  readonly before: unknown;
  readonly after: unknown;
}

/** A record of the retained log that concerns one item. */
export interface ItemHistoryEntry {
  readonly offset: number;
  readonly appendedAtWallMs: number;
  readonly change: ChangeRecord;
}

/** Which offset a VM has in force. */
export interface VmCatalogueStatus {
  readonly vm: string;
  /** Null where the VM did not answer. */
  readonly appliedOffset: number | null;
  readonly isReady: boolean;
}

/** The part of the catalogue replica that other aggregates read. */
export interface CatalogueView {
  current(): CatalogueState;
  /** Called after each applied batch, with the new state. */
  onChange(listener: (state: CatalogueState) => void): Disposable;
}
