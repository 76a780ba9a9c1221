import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";

/** Names of the log streams in use. */
export enum LogStream {
  /** Catalogue changes by operators, and our snapshots of the catalogue. */
  Catalogue = "catalogue",
  /** Intents and outcomes of once-only calls, and snapshots of their keys. */
  Calls = "calls",
  /** Leases for placement, model loads and roles. */
  Leases = "leases",
}

/** One record as the log holds it. */
export interface LogRecord {
  /** Position in its stream; the first record has offset 0. */
  readonly offset: number;
  readonly appendedAtWallMs: number;
  readonly payload: unknown;
}

/** What one read returned. */
export interface LogBatch {
  readonly records: readonly LogRecord[];
  /** The lowest offset still retained; a reader that is behind it has a gap. */
  readonly firstOffset: number;
  /** The offset that the next append will get. */
  readonly endOffset: number;
}

/** How a read waits for records that are not there yet. */
export interface LogReadOptions {
  readonly maxRecords?: number;
  /** Long poll: how long to wait for a record at the offset. */
  readonly waitMs?: number;
  readonly signal?: AbortSignal;
}

/** The platform's append-only log service. */
export interface LogService {
  /**
   * Appends records in order, in one append.
   *
   * @returns the offset of the first of them, or an error; an error with execution `unknown`
   * means that the append may have taken effect, and reading settles it
   */
  append(
    stream: LogStream,
    payloads: readonly unknown[],
  ): Promise<neverthrow.Result<number, stepError.StepError>>;
  /** Reads records from an offset on. */
  read(
    stream: LogStream,
    fromOffset: number,
    options?: LogReadOptions,
  ): Promise<neverthrow.Result<LogBatch, stepError.StepError>>;
}

/** What the platform says about a VM. */
export enum VmListing {
  Live = "live",
  Leaving = "leaving",
}

/** One line of the platform's lagging list of VMs; entry VMs and backend servers alike. */
export interface ListedVm {
  readonly name: string;
  readonly dataCentre: string;
  readonly address: string;
  readonly listing: VmListing;
}

/** The platform's lagging list of live and leaving VMs. */
export interface VmList {
  list(): Promise<neverthrow.Result<readonly ListedVm[], stepError.StepError>>;
}

/** What the rate-limited weight store says about its capacity. */
export interface WeightStoreStatus {
  readonly loadsPerMinuteLimit: number;
  readonly loadsAvailableCount: number;
}

/** The platform's rate-limited weight store. */
export interface WeightStore {
  status(): Promise<neverthrow.Result<WeightStoreStatus, stepError.StepError>>;
}
