import type * as neverthrow from "neverthrow";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as stepError from "../../_lib/stepError/index.js";
import * as recordForwarder from "../_lib/recordForwarder/index.js";
import * as appliedState from "../_lib/appliedState/index.js";
import * as logReader from "../_lib/logReader/index.js";
import * as peerExchange from "../_lib/peerExchange/index.js";
import * as coalescedTask from "../_lib/coalescedTask/index.js";
import * as snapshotWriter from "../_lib/snapshotWriter/index.js";
import * as stateLoader from "../_lib/stateLoader/index.js";
import * as limitTime from "../limitTime/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** Default options of a follower. */
export const DEFAULT_FOLLOWER_OPTIONS: types.FollowerOptions = {
  retentionMs: constants.DEFAULT_RETENTION_MS,
  snapshotEveryRecords: constants.SNAPSHOT_INTERVAL_RECORDS,
  areSnapshotsWritten: true,
  readersPerDataCentre: constants.READERS_PER_DATA_CENTRE,
};

/**
 * Replicates one stream of the log: starts from a snapshot, applies every record once and in order,
 * serves peers that cannot read the log, and detects missing records. One task reads the log or
 * peers; batches from a reader are applied on arrival.
 */
export class StreamFollower<State> implements AsyncDisposable {
  private hasBeenReady = false;
  /** VMs whose connection was lost and that have sent no batch since. */
  private readonly lostPeers = new Set<string>();
  /** Time of the last batch from a peer, or of the last successful load without the reader. */
  private receivedAtMs = 0;
  private wakeUp = limitTime.createDeferred<undefined>();
  private readonly stopping = new AbortController();
  private readonly store = new disposableStore.DisposableStore();
  private readonly applied: appliedState.AppliedState<State>;
  private readonly log: logReader.LogReader;
  private readonly exchange: peerExchange.PeerExchange;
  private readonly snapshots: snapshotWriter.SnapshotWriter<State>;
  private readonly forwarder: recordForwarder.RecordForwarder<State>;
  private readonly loader: stateLoader.StateLoader<State>;
  private readonly catchUp = new coalescedTask.CoalescedTask(() => this.loader.catchUpToEnd());
  private checkTimer: Disposable | null = null;

  constructor(
    private readonly rules: types.StreamRules<State>,
    private readonly dependencies: types.FollowerDependencies,
    options: types.FollowerOptions = DEFAULT_FOLLOWER_OPTIONS,
  ) {
    const { stream } = rules;
    const applied = new appliedState.AppliedState(rules, dependencies);
    this.applied = applied;
    this.log = new logReader.LogReader(dependencies, stream, this.stopping.signal);
    this.snapshots = new snapshotWriter.SnapshotWriter(dependencies, rules, options, {
      current: () => applied.current,
      isReady: () => this.isFollowing,
    });
    this.exchange = this.store.add(
      new peerExchange.PeerExchange(dependencies, stream, {
        status: () => ({ appliedOffset: applied.appliedOffset, isReady: this.hasBeenReady }),
        knownOffset: () => applied.knownOffset,
        lowestOffset: () => applied.lowestRecentOffset,
        recordsFrom: (offset, maxCount) => applied.recordsFrom(offset, maxCount),
        packedSnapshot: () => this.snapshots.packRecent(),
        onBatch: (batch, fromVm) => this.applyBatch(batch, fromVm),
      }),
    );
    this.forwarder = new recordForwarder.RecordForwarder(
      dependencies,
      stream,
      options,
      applied,
      this.exchange,
    );
    this.loader = new stateLoader.StateLoader(dependencies, {
      applied,
      log: this.log,
      exchange: this.exchange,
      snapshots: this.snapshots,
      forwarder: this.forwarder,
    });
    this.store.add(dependencies.peerNetwork.onDisconnect((vmName) => this.onDisconnect(vmName)));
    this.store.add(
      applied.onApplied((_, records) => {
        for (const record of records) this.snapshots.observe(record);
      }),
    );
  }

  /** Starts the task; may be called only once. */
  start(): void {
    const running = this.run();
    this.store.defer(() => {
      this.stopping.abort();
      this.checkTimer?.[Symbol.dispose]();
      this.wakeUp.resolve(undefined);
      return running;
    });
    this.scheduleCheck();
  }

  get current(): State {
    return this.applied.current;
  }

  get appliedOffset(): number {
    return this.applied.appliedOffset;
  }

  /** Whether the state has ever reached the highest offset that this VM could learn of. */
  get isReady(): boolean {
    return this.hasBeenReady;
  }

  /** Whether the follower is in the following phase. */
  get isFollowing(): boolean {
    return this.applied.phase === types.FollowerPhase.Following;
  }

  status(): types.FollowerStatus {
    return {
      phase: this.applied.phase,
      reason: this.applied.reason,
      appliedOffset: this.applied.appliedOffset,
      knownOffset: this.applied.knownOffset,
      isReader: this.forwarder.isReader(),
      snapshotOffset: this.snapshots.coveredOffset,
    };
  }

  onApplied(listener: appliedState.AppliedListener<State>): Disposable {
    return this.applied.onApplied(listener);
  }

  /** Requests another VM's status; null if it does not answer. */
  requestStatus(vmName: string): Promise<types.PeerStatus | null> {
    return this.exchange.requestStatus(vmName);
  }

  /** Reads the log up to its current end; returns its end offset, or an error if it could not be read so far. */
  catchUpToEnd(): Promise<neverthrow.Result<number, stepError.StepError>> {
    return this.catchUp.run();
  }

  /** Waits until an offset is applied; false if the timeout passes or the follower stops first. */
  async waitForOffset(offset: number, timeoutMs: number): Promise<boolean> {
    const { clock } = this.dependencies;
    const deadlineAtMs = clock.nowMs() + timeoutMs;
    const applied = limitTime.createDeferred<undefined>();
    const listener = this.onApplied(() => {
      if (this.appliedOffset >= offset) applied.resolve(undefined);
    });
    try {
      return await this.waitOrReadUntil(offset, deadlineAtMs, applied.promise);
    } finally {
      listener[Symbol.dispose]();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.store[Symbol.asyncDispose]();
  }

  /** Waits for a record; reads the log itself if the reader does not forward it in time. */
  private async waitOrReadUntil(
    offset: number,
    deadlineAtMs: number,
    applied: Promise<undefined>,
  ): Promise<boolean> {
    const { clock } = this.dependencies;
    while (this.appliedOffset < offset) {
      const remainingMs = deadlineAtMs - clock.nowMs();
      if (remainingMs <= 0 || this.stopping.signal.aborted) return false;
      const forwardWaitMs = Math.min(remainingMs, constants.READER_FORWARD_WAIT_MS);
      await limitTime.waitAtMost(clock, forwardWaitMs, applied);
      if (this.appliedOffset < offset && forwardWaitMs < remainingMs) await this.catchUpToEnd();
    }
    return true;
  }

  private async run(): Promise<void> {
    let pauseMs = constants.MIN_RETRY_PAUSE_MS;
    while (!this.stopping.signal.aborted) {
      const hasSucceeded = await this.step();
      if (hasSucceeded) {
        pauseMs = constants.MIN_RETRY_PAUSE_MS;
        continue;
      }
      await this.waitForWakeUp(pauseMs);
      pauseMs = Math.min(2 * pauseMs, constants.MAX_RETRY_PAUSE_MS);
    }
  }

  /** Runs one step of the task; returns false if it made no progress and a backoff is due. */
  private async step(): Promise<boolean> {
    try {
      if (!this.isFollowing) return await this.bootstrap();
      return await (this.isReadingLog() ? this.readLog() : this.followReader());
    } catch (error) {
      const { stream } = this.rules;
      this.dependencies.logger.error({ stream, err: error }, "stream follower step threw an error");
      return false;
    }
  }

  /** Whether this VM reads the log: it is a reader, or its reader is disconnected and sent no batch since. */
  private isReadingLog(): boolean {
    return this.forwarder.isReader() || this.lostPeers.has(this.forwarder.assignedReader() ?? "");
  }

  private onDisconnect(vmName: string): void {
    const names = new Set(this.dependencies.fleetView.members().map(({ name }) => name));
    for (const name of this.lostPeers) if (!names.has(name)) this.lostPeers.delete(name);
    this.lostPeers.add(vmName);
    this.wakeUp.resolve(undefined);
  }

  private async bootstrap(): Promise<boolean> {
    const logOffset = await this.loader.loadFromLog();
    const peersOffset = await this.loader.loadFromPeers();
    if (logOffset === null && peersOffset === null) {
      this.applied.reason = "neither the log nor a ready peer can be reached";
      return false;
    }
    const targetOffset = Math.max(logOffset ?? -1, peersOffset ?? -1);
    if (this.appliedOffset < targetOffset) {
      if (this.applied.phase === types.FollowerPhase.Bootstrapping) {
        this.applied.reason = `applied up to ${this.appliedOffset} of ${targetOffset}`;
      }
      return false;
    }
    this.applied.setPhase(types.FollowerPhase.Following, "");
    this.hasBeenReady = true;
    this.receivedAtMs = this.dependencies.clock.nowMs();
    return true;
  }

  /** Step of a reader: one long poll of the log, or requests to peers if that fails. */
  private async readLog(): Promise<boolean> {
    const { clock } = this.dependencies;
    const startedAtMs = clock.nowMs();
    const read = await this.log.read(this.appliedOffset + 1, constants.LONG_POLL_MS);
    if (read.isOk()) {
      this.loader.applyLogBatch(read.value);
      const hasWaited = clock.nowMs() - startedAtMs >= constants.MAX_RETRY_PAUSE_MS;
      return hasWaited || read.value.records.length > 0;
    }
    if (this.stopping.signal.aborted) return false;
    this.dependencies.metrics.increment("replication.log_read_failed");
    const beforeOffset = this.appliedOffset;
    await this.loader.loadFromPeers();
    return this.appliedOffset > beforeOffset;
  }

  /** Step of a non-reader: waits for its reader; if that is silent or records are missing, loads them. */
  private async followReader(): Promise<boolean> {
    const { clock } = this.dependencies;
    const wasBehind = this.applied.knownOffset > this.appliedOffset;
    const silentMs = clock.nowMs() - this.receivedAtMs;
    if (!wasBehind && silentMs < constants.READER_SILENCE_TIMEOUT_MS) {
      await this.waitForWakeUp(constants.READER_SILENCE_TIMEOUT_MS - silentMs);
      return true;
    }
    const beforeOffset = this.appliedOffset;
    if (wasBehind) await this.loader.loadFromPeers();
    const isBehind = this.applied.knownOffset > this.appliedOffset;
    if ((isBehind || !wasBehind) && (await this.catchUpAlone())) this.receivedAtMs = clock.nowMs();
    return this.appliedOffset > beforeOffset;
  }

  /** Reads the log first, as other followers of a silent reader hold no newer records; then peers. */
  private async catchUpAlone(): Promise<boolean> {
    const fromLog = await this.catchUpToEnd();
    return fromLog.isOk() || (await this.loader.loadFromPeers()) !== null;
  }

  private applyBatch(batch: types.RecordBatch, fromVm: string): void {
    this.lostPeers.delete(fromVm);
    this.receivedAtMs = this.dependencies.clock.nowMs();
    this.applied.knownOffset = Math.max(this.applied.knownOffset, batch.knownOffset);
    if (this.applied.phase !== types.FollowerPhase.Bootstrapping) this.applied.apply(batch.records);
    if (this.applied.knownOffset > this.appliedOffset) this.wakeUp.resolve(undefined);
  }

  private async waitForWakeUp(timeoutMs: number): Promise<void> {
    await limitTime.waitAtMost(this.dependencies.clock, timeoutMs, this.wakeUp.promise);
    if (!this.stopping.signal.aborted) this.wakeUp = limitTime.createDeferred();
  }

  private scheduleCheck(): void {
    if (this.stopping.signal.aborted) return;
    this.checkTimer = this.dependencies.clock.schedule(constants.PERIODIC_CHECK_INTERVAL_MS, () => {
      this.forwarder.sendKnownOffsetIfIdle();
      void this.snapshots.writeIfDue();
      this.scheduleCheck();
    });
  }
}
