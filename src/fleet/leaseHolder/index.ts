import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";
import * as uuid from "uuid";

import type * as clocks from "../../_lib/clock/index.js";
import type * as logging from "../../_lib/logger/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as appendBudget from "../../controlPlane/appendBudget/index.js";
import type * as platform from "../../controlPlane/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as heldLease from "../_lib/heldLease/index.js";
import * as leaseLog from "../_lib/leaseLog/index.js";
import * as leaseRecords from "../_lib/leaseRecords/index.js";
import type * as leaseTable from "../_lib/leaseTable/index.js";
import * as types from "../types.js";

const { TOKENS } = tokens;

/** Identifies a lease. */
interface LeaseKey {
  readonly purpose: types.LeasePurpose;
  readonly scope: string;
}

/**
 * Acquires and holds leases through the platform's log. The offset of the record that acquired a
 * lease is its fencing number. A candidate waits for the term and a margin after it has read the
 * holder's last record; a holder checks the remaining time by its own clocks before each order that
 * it sends to a server.
 */
@tsyringe.injectable()
export class LeaseHolder implements AsyncDisposable {
  private readonly leases: leaseLog.LeaseLog;
  private readonly instance = uuid.v4();
  private readonly activeKeys = new Set<string>();
  private readonly tasks = new Set<Promise<unknown>>();
  private readonly stop = new AbortController();

  constructor(
    @tsyringe.inject(TOKENS.leaseOptions) private readonly options: types.LeaseOptions,
    @tsyringe.inject(TOKENS.logService) log: platform.LogService,
    @tsyringe.inject(TOKENS.appendBudget) budget: appendBudget.AppendBudget,
    @tsyringe.inject(TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(TOKENS.logger) private readonly logger: logging.Logger,
    @tsyringe.inject(TOKENS.metrics) private readonly metrics: telemetry.Metrics,
  ) {
    this.leases = new leaseLog.LeaseLog(log, budget, clock, metrics);
  }

  /**
   * Acquires a lease, runs the work while renewing the lease, and releases it.
   *
   * @param scope - the resource that the lease covers, e.g. a data centre
   * @param work - receives the fencing number, and a check to be made just before each order
   * @returns the work's result, or an error if the lease was not acquired and the work not
   * started; a conflict names the holder and, if known, the time after which to retry
   * @throws the error of the work if it rejects
   */
  async withLease<T>(
    scope: string,
    work: types.LeaseWork<T>,
    options: types.LeaseRequestOptions = {},
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    const key = { purpose: options.purpose ?? types.LeasePurpose.Placement, scope };
    const keyText = `${key.purpose}/${scope}`;
    if (this.activeKeys.has(keyText)) return neverthrow.err(createHeldError(this.options.vmName));
    this.activeKeys.add(keyText);
    const task = this.runWithLease(key, work, options.waitMs ?? 0);
    this.tasks.add(task);
    try {
      return await task;
    } finally {
      this.tasks.delete(task);
      this.activeKeys.delete(keyText);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop.abort(new Error(`lease holder of VM ${this.options.vmName} closed`));
    await Promise.allSettled(this.tasks);
  }

  private async runWithLease<T>(
    key: LeaseKey,
    work: types.LeaseWork<T>,
    waitMs: number,
  ): Promise<neverthrow.Result<T, stepError.StepError>> {
    const acquired = await this.acquire(key, waitMs);
    if (acquired.isErr()) return neverthrow.err(acquired.error);
    const lease = acquired.value;
    const ended = new AbortController();
    const lost = new AbortController();
    const renewing = this.renewUntilEnded(key, lease, ended.signal, lost);
    try {
      const isStillHeld = (neededMs = 0): boolean => lease.isHeldFor(neededMs);
      return neverthrow.ok(await work(lease.fencingNumber, isStillHeld, lost.signal));
    } finally {
      ended.abort();
      await renewing;
      await this.release(key, lease);
    }
  }

  private async acquire(
    key: LeaseKey,
    waitMs: number,
  ): Promise<neverthrow.Result<heldLease.HeldLease, stepError.StepError>> {
    const deadlineAtMs = this.clock.nowMs() + waitMs;
    for (;;) {
      const attempt = await this.tryAcquire(key);
      if (attempt.isOk()) return attempt;
      const nowMs = this.clock.nowMs();
      if (nowMs >= deadlineAtMs || this.stop.signal.aborted) return attempt;
      const pauseMs = Math.max(this.options.retryIntervalMs, attempt.error.retryAfterMs ?? 0);
      await this.sleep(Math.min(pauseMs, deadlineAtMs - nowMs), this.stop.signal);
    }
  }

  private async tryAcquire(
    key: LeaseKey,
  ): Promise<neverthrow.Result<heldLease.HeldLease, stepError.StepError>> {
    const read = await this.leases.catchUp();
    if (read.isErr()) return neverthrow.err(read.error);
    const known = this.leases.table.get(key.purpose, key.scope);
    const waitMs = known === undefined ? 0 : this.timeUntilLapsedMs(known);
    if (known !== undefined && waitMs > 0)
      return neverthrow.err(createHeldError(known.holder, waitMs));
    const termStart = heldLease.readClocks(this.clock);
    const record: leaseRecords.AcquireRecord = {
      ...this.commonFields(key),
      action: leaseRecords.LeaseAction.Acquire,
      termMs: this.options.termMs,
      followsOffset: known?.lastOffset ?? null,
    };
    const lease = (fencingNumber: number): heldLease.HeldLease =>
      new heldLease.HeldLease(fencingNumber, this.options.termMs, termStart, this.clock);
    const isUseful = (): boolean => lease(0).isHeldFor(0);
    const isEffective = await this.appendAndReadBack(record, isUseful);
    const entry = this.leases.table.get(key.purpose, key.scope);
    if (!isEffective || entry?.instance !== this.instance) {
      return neverthrow.err(
        createHeldError(entry?.holder ?? "nobody", this.options.retryIntervalMs),
      );
    }
    const { fencingNumber } = entry;
    this.logger.info({ ...key, fencingNumber }, "lease acquired");
    this.metrics.increment("fleet.lease_acquired");
    return neverthrow.ok(lease(fencingNumber));
  }

  /** Milliseconds until a lease has certainly lapsed; 0 if it was released or is this process's. */
  private timeUntilLapsedMs(entry: leaseTable.LeaseEntry): number {
    if (entry.isReleased || entry.instance === this.instance) return 0;
    const lapsedAtMs = entry.readAtMs + entry.termMs + this.options.marginMs;
    return Math.max(0, lapsedAtMs - this.clock.nowMs());
  }

  /**
   * Appends a record and reads the log to find out whether it took effect: an append whose answer
   * was lost may have taken effect, and one that was answered may have arrived too late.
   *
   * @param isUseful - whether the result still matters, so that failed reads are retried
   * @returns whether the record took effect, as far as the log could be read
   */
  private async appendAndReadBack(
    record: leaseRecords.LeaseRecord,
    isUseful: () => boolean,
  ): Promise<boolean> {
    const appended = await this.leases.append(record, this.stop.signal).catch(() => undefined);
    const isSent = appended !== undefined && !isNotRun(appended);
    while (isSent && isUseful()) {
      const read = await this.leases.catchUp();
      if (read.isOk()) break;
      await this.sleep(this.options.retryIntervalMs, this.stop.signal);
    }
    return this.leases.consumeEffect(record.recordId);
  }

  private async renewUntilEnded(
    key: LeaseKey,
    lease: heldLease.HeldLease,
    ended: AbortSignal,
    lost: AbortController,
  ): Promise<void> {
    const signal = AbortSignal.any([ended, this.stop.signal]);
    let pauseMs = this.options.renewIntervalMs;
    while (lease.isHeldFor(0)) {
      await this.sleep(Math.min(pauseMs, lease.remainingMs()), signal);
      if (signal.aborted) return;
      if (!lease.isHeldFor(0)) break;
      const isRenewed = await this.renew(key, lease);
      pauseMs = isRenewed ? this.options.renewIntervalMs : this.options.retryIntervalMs;
    }
    this.logger.warn({ ...key, fencingNumber: lease.fencingNumber }, "lease lost");
    this.metrics.increment("fleet.lease_lost");
    lost.abort(
      new Error(`lease ${key.purpose}/${key.scope} lost, fencing number ${lease.fencingNumber}`),
    );
  }

  private async renew(key: LeaseKey, lease: heldLease.HeldLease): Promise<boolean> {
    const termStart = heldLease.readClocks(this.clock);
    const record: leaseRecords.RenewRecord = {
      ...this.commonFields(key),
      action: leaseRecords.LeaseAction.Renew,
      termMs: this.options.termMs,
      fencingNumber: lease.fencingNumber,
    };
    const isRenewed = await this.appendAndReadBack(record, () => lease.isHeldFor(0));
    if (isRenewed) lease.renew(termStart);
    const entry = this.leases.table.get(key.purpose, key.scope);
    if (entry?.fencingNumber !== lease.fencingNumber) lease.markLost();
    return isRenewed;
  }

  /** Releases a lease so that its successor need not wait; a failed release only makes it wait. */
  private async release(key: LeaseKey, lease: heldLease.HeldLease): Promise<void> {
    if (!lease.isHeldFor(0)) return;
    lease.markLost();
    const record: leaseRecords.ReleaseRecord = {
      ...this.commonFields(key),
      action: leaseRecords.LeaseAction.Release,
      fencingNumber: lease.fencingNumber,
    };
    await this.leases.append(record, this.stop.signal).catch(() => undefined);
  }

  private commonFields(
    key: LeaseKey,
  ): Pick<
    leaseRecords.LeaseRecord,
    "type" | "recordId" | "purpose" | "scope" | "holder" | "instance"
  > {
    const { vmName } = this.options;
    const recordId = uuid.v4();
    return { type: "lease", recordId, ...key, holder: vmName, instance: this.instance };
  }

  private async sleep(durationMs: number, signal: AbortSignal): Promise<void> {
    await this.clock.sleep(Math.max(1, durationMs), signal).catch(() => undefined);
  }
}

function createHeldError(holder: string, retryAfterMs?: number): stepError.StepError {
  return new stepError.StepError(`the lease is held by ${holder}`, {
    code: stepError.ErrorCode.Conflict,
    step: "lease.acquire",
    peer: holder,
    execution: stepError.ExecutionState.NotRun,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  });
}

function isNotRun(appended: neverthrow.Result<number, stepError.StepError>): boolean {
  return appended.isErr() && appended.error.execution === stepError.ExecutionState.NotRun;
}
