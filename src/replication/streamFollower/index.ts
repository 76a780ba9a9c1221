import type * as neverthrow from "neverthrow";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as stepError from "../../_lib/stepError/index.js";
import * as announcer from "../_lib/announcer/index.js";
import * as appliedState from "../_lib/appliedState/index.js";
import * as logReader from "../_lib/logReader/index.js";
import * as peerExchange from "../_lib/peerExchange/index.js";
import * as sharedRun from "../_lib/sharedRun/index.js";
import * as snapshotKeeper from "../_lib/snapshotKeeper/index.js";
import * as stateLoader from "../_lib/stateLoader/index.js";
import * as timeLimit from "../limitTime/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

/** Settings that suit most streams. */
export const DEFAULT_FOLLOWER_OPTIONS: types.FollowerOptions = {
  retentionMs: constants.DEFAULT_RETENTION_MS,
  snapshotEveryRecords: constants.SNAPSHOT_EVERY_RECORDS,
  areSnapshotsWritten: true,
  readersPerDataCentre: constants.READERS_PER_DATA_CENTRE,
};

/**
 * Follows one stream of the log: starts from a snapshot, applies every record once and in order,
 * serves peers that cannot read the log, and notices what it misses. One task does the work;
 * peers' batches are applied as they come.
 */
export class StreamFollower<State> implements AsyncDisposable {
  private hasBeenReady = false;
  /** VMs whose connection broke and that have sent nothing since. */
  private readonly lostPeers = new Set<string>();
  private lastHeardMs = 0;
  private news = timeLimit.createDeferred<undefined>();
  private readonly stopping = new AbortController();
  private readonly store = new disposableStore.DisposableStore();
  private readonly applied: appliedState.AppliedState<State>;
  private readonly log: logReader.LogReader;
  private readonly exchange: peerExchange.PeerExchange;
  private readonly snapshots: snapshotKeeper.SnapshotKeeper<State>;
  private readonly announcer: announcer.Announcer<State>;
  private readonly loader: stateLoader.StateLoader<State>;
  private readonly catchUp = new sharedRun.SharedRun(() => this.loader.catchUpToEnd());
  private tick: Disposable | null = null;

  constructor(
    private readonly rules: types.StreamRules<State>,
    private readonly dependencies: types.FollowerDependencies,
    options: types.FollowerOptions = DEFAULT_FOLLOWER_OPTIONS,
  ) {
    const { stream } = rules;
    const applied = new appliedState.AppliedState(rules, dependencies);
    this.applied = applied;
    this.log = new logReader.LogReader(dependencies, stream, this.stopping.signal);
    this.snapshots = new snapshotKeeper.SnapshotKeeper(dependencies, rules, options, {
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
        onBatch: (batch, fromVm) => this.takeBatch(batch, fromVm),
      }),
    );
    this.announcer = new announcer.Announcer(dependencies, stream, options, applied, this.exchange);
    this.loader = new stateLoader.StateLoader(dependencies, {
      applied,
      log: this.log,
      exchange: this.exchange,
      snapshots: this.snapshots,
      announcer: this.announcer,
    });
    this.store.add(dependencies.peerNetwork.onDisconnect((vmName) => this.onDisconnect(vmName)));
    this.store.add(
      applied.onApplied((_, records) => {
        for (const record of records) this.snapshots.observe(record);
      }),
    );
  }

  /** Starts the task; call once. */
  start(): void {
    const running = this.run();
    this.store.defer(() => {
      this.stopping.abort();
      this.tick?.[Symbol.dispose]();
      this.news.resolve(undefined);
      return running;
    });
    this.scheduleTick();
  }

  get current(): State {
    return this.applied.current;
  }

  get appliedOffset(): number {
    return this.applied.appliedOffset;
  }

  /** Whether the state once held the highest offset that could be learnt of. */
  get isReady(): boolean {
    return this.hasBeenReady;
  }

  /** Whether nothing is known to be missing. */
  get isFollowing(): boolean {
    return this.applied.phase === types.FollowerPhase.Following;
  }

  status(): types.FollowerStatus {
    return {
      phase: this.applied.phase,
      reason: this.applied.reason,
      appliedOffset: this.applied.appliedOffset,
      knownOffset: this.applied.knownOffset,
      isReader: this.announcer.isReader(),
      snapshotOffset: this.snapshots.coveredOffset,
    };
  }

  onApplied(listener: appliedState.AppliedListener<State>): Disposable {
    return this.applied.onApplied(listener);
  }

  /** Where another VM stands, asked now; null where it does not answer. */
  askStatus(vmName: string): Promise<types.PeerStatus | null> {
    return this.exchange.askStatus(vmName);
  }

  /** Reads the log up to its present end and returns that; the error says why it cannot be read. */
  catchUpToEnd(): Promise<neverthrow.Result<number, stepError.StepError>> {
    return this.catchUp.run();
  }

  /**
   * Waits until an offset is applied; reads the log itself where the reader is slow to pass it on.
   *
   * @returns false where the time ran out first
   */
  async waitForOffset(offset: number, timeoutMs: number): Promise<boolean> {
    const { clock } = this.dependencies;
    const giveUpAtMs = clock.nowMs() + timeoutMs;
    const arrived = timeLimit.createDeferred<undefined>();
    const listener = this.onApplied(() => {
      if (this.appliedOffset >= offset) arrived.resolve(undefined);
    });
    try {
      return await this.readBack(offset, giveUpAtMs, arrived.promise);
    } finally {
      listener[Symbol.dispose]();
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.store[Symbol.asyncDispose]();
  }

  private async readBack(
    offset: number,
    giveUpAtMs: number,
    arrived: Promise<undefined>,
  ): Promise<boolean> {
    const { clock } = this.dependencies;
    while (this.appliedOffset < offset) {
      const remainingMs = giveUpAtMs - clock.nowMs();
      if (remainingMs <= 0 || this.stopping.signal.aborted) return false;
      const patienceMs = Math.min(remainingMs, constants.READ_BACK_PATIENCE_MS);
      await timeLimit.waitAtMost(clock, patienceMs, arrived);
      if (this.appliedOffset < offset && patienceMs < remainingMs) await this.catchUpToEnd();
    }
    return true;
  }

  private async run(): Promise<void> {
    let pauseMs = constants.MIN_RETRY_PAUSE_MS;
    while (!this.stopping.signal.aborted) {
      const hasWorked = await this.step();
      if (hasWorked) {
        pauseMs = constants.MIN_RETRY_PAUSE_MS;
        continue;
      }
      await this.waitForNews(pauseMs);
      pauseMs = Math.min(2 * pauseMs, constants.MAX_RETRY_PAUSE_MS);
    }
  }

  /** One step of the task; false where it could not go on and a pause is due. */
  private async step(): Promise<boolean> {
    try {
      if (!this.isFollowing) return await this.bootstrap();
      return await (this.readsLog() ? this.readLog() : this.followReader());
    } catch (error) {
      const { stream } = this.rules;
      this.dependencies.logger.error({ stream, err: error }, "step of a stream follower failed");
      return false;
    }
  }

  /** A VM whose reader is out of reach reads the log itself until it hears from that reader. */
  private readsLog(): boolean {
    return this.announcer.isReader() || this.lostPeers.has(this.announcer.ownReader() ?? "");
  }

  private onDisconnect(vmName: string): void {
    const names = new Set(this.dependencies.fleetView.members().map(({ name }) => name));
    for (const name of this.lostPeers) if (!names.has(name)) this.lostPeers.delete(name);
    this.lostPeers.add(vmName);
    this.news.resolve(undefined);
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
    this.lastHeardMs = this.dependencies.clock.nowMs();
    return true;
  }

  /** A reader's step: one long poll of the log; peers are asked where it fails. */
  private async readLog(): Promise<boolean> {
    const { clock } = this.dependencies;
    const startedAtMs = clock.nowMs();
    const read = await this.log.read(this.appliedOffset + 1, constants.LONG_POLL_MS);
    if (read.isOk()) {
      this.loader.takeLogBatch(read.value);
      const hasWaited = clock.nowMs() - startedAtMs >= constants.MAX_RETRY_PAUSE_MS;
      return hasWaited || read.value.records.length > 0;
    }
    if (this.stopping.signal.aborted) return false;
    this.dependencies.metrics.increment("replication.log_read_failed");
    const beforeOffset = this.appliedOffset;
    await this.loader.loadFromPeers();
    return this.appliedOffset > beforeOffset;
  }

  /** A follower's step: waits for its reader, and asks around when that stays silent. */
  private async followReader(): Promise<boolean> {
    const { clock } = this.dependencies;
    const isMissing = this.applied.knownOffset > this.appliedOffset;
    const silentMs = clock.nowMs() - this.lastHeardMs;
    if (!isMissing && silentMs < constants.READER_SILENCE_MS) {
      await this.waitForNews(constants.READER_SILENCE_MS - silentMs);
      return true;
    }
    const beforeOffset = this.appliedOffset;
    if (isMissing) await this.loader.loadFromPeers();
    const isBehind = this.applied.knownOffset > this.appliedOffset;
    if ((isBehind || !isMissing) && (await this.readSilently())) this.lastHeardMs = clock.nowMs();
    return this.appliedOffset > beforeOffset;
  }

  /** Other followers of a silent reader know no more than this one, so the log goes first. */
  private async readSilently(): Promise<boolean> {
    const fromLog = await this.catchUpToEnd();
    return fromLog.isOk() || (await this.loader.loadFromPeers()) !== null;
  }

  private takeBatch(batch: types.RecordBatch, fromVm: string): void {
    this.lostPeers.delete(fromVm);
    this.lastHeardMs = this.dependencies.clock.nowMs();
    this.applied.knownOffset = Math.max(this.applied.knownOffset, batch.knownOffset);
    if (this.applied.phase !== types.FollowerPhase.Bootstrapping) this.applied.apply(batch.records);
    if (this.applied.knownOffset > this.appliedOffset) this.news.resolve(undefined);
  }

  private async waitForNews(timeoutMs: number): Promise<void> {
    await timeLimit.waitAtMost(this.dependencies.clock, timeoutMs, this.news.promise);
    if (!this.stopping.signal.aborted) this.news = timeLimit.createDeferred();
  }

  private scheduleTick(): void {
    if (this.stopping.signal.aborted) return;
    this.tick = this.dependencies.clock.schedule(constants.TICK_MS, () => {
      this.announcer.announceIfIdle();
      void this.snapshots.writeIfDue();
      this.scheduleTick();
    });
  }
}
