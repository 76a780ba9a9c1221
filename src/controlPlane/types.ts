import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";

/** Names of the log streams in use. */
export enum LogStream {
  /** Catalogue changes by operators, and snapshots of the catalogue. */
  Catalogue = "catalogue",
  /** Intents and outcomes of once-only calls, and snapshots of their keys. */
  Calls = "calls",
  /** Leases for placement, model loads and roles. */
  Leases = "leases",
}

/** A record of a log stream. */
export interface LogRecord {
  /** Position in its stream; the first record has offset 0. */
  readonly offset: number;
  readonly appendedAtWallMs: number;
  readonly payload: unknown;
}

/** Result of one read. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The lowest offset still retained; a reader that needs a lower one has a gap. */
  readonly firstOffset: number;
  /** The offset that the next append will get. */
  readonly endOffset: number;
}

/** Options of a read. */
export interface LogReadOptions {
  readonly maxRecords?: number;
  /** Long poll: time to wait for a record at the offset. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log service. */
export interface LogService {
  /**
   * Appends records in order, in one append.
   *
   * @returns the offset of the first record, or an error. After an error with execution `unknown`
   * the append may have taken effect; reading the stream shows whether it has
   */
  append(
    stream: LogStream,
    payloads: readonly unknown[],
  ): Promise<neverthrow.Result<number, stepError.StepError>>;
  /** Reads records from an offset on, in order. */
  read(
    stream: LogStream,
    fromOffset: number,
    options?: LogReadOptions,
  ): Promise<neverthrow.Result<LogBatch, stepError.StepError>>;
}

/** State of a VM in the platform's list. */
export enum VmListing {
  Live = "live",
  Leaving = "leaving",
}

/** One VM in the platform's lagging list; an entry VM or a backend server. */
export interface ListedVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly listing: VmListing;
}

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
  /** Reads the whole list. */
  list(): Promise<neverthrow.Result<readonly ListedVm[], stepError.StepError>>;
}

/** Capacity of the weight store, as it reports it. */
export interface WeightStoreStatus {
  readonly loadsPerMinuteLimit: number;
  readonly loadsAvailableCount: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStore {
  /** Reads the limit of model loads and the loads available now. */
  status(): Promise<neverthrow.Result<WeightStoreStatus, stepError.StepError>>;
}
