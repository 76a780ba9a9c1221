import * as neverthrow from "neverthrow";

import type * as stepError from "../../../_lib/stepError/index.js";
import * as partialReads from "../../../controlPlane/createPartialReadError/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as recordForwarder from "../recordForwarder/index.js";
import type * as appliedState from "../appliedState/index.js";
import type * as logReader from "../logReader/index.js";
import type * as peerExchange from "../peerExchange/index.js";
import * as readerRoles from "../readerRoles/index.js";
import type * as snapshotWriter from "../snapshotWriter/index.js";

/** Components of a follower that its loader works with. */
export interface LoaderComponents<State> {
  readonly applied: appliedState.AppliedState<State>;
  readonly log: logReader.LogReader;
  readonly exchange: peerExchange.PeerExchange;
  readonly snapshots: snapshotWriter.SnapshotWriter<State>;
  readonly forwarder: recordForwarder.RecordForwarder<State>;
}

/** Advances a stream's state from the log or from peers, whichever is reachable. */
export class StateLoader<State> {
  private sourceAttempt = 0;

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly parts: LoaderComponents<State>,
  ) {}

  /**
   * Loads the newest usable snapshot and the records after it.
   *
   * @returns the log's last offset, or null if the log cannot be read
   */
  async loadFromLog(): Promise<number | null> {
    const { applied, log, snapshots } = this.parts;
    const bounds = await log.readBounds();
    if (bounds.isErr()) return null;
    const { firstOffset, endOffset } = bounds.value;
    const isFarBehind = endOffset - applied.appliedOffset > constants.RECORDS_PER_READ;
    if (isFarBehind || firstOffset > applied.appliedOffset + 1) {
      const found = await log.findSnapshot(bounds.value, applied.appliedOffset);
      if (found.isErr()) return null;
      if (
        found.value !== null &&
        applied.applySnapshot(found.value.coveredOffset, found.value.parts)
      ) {
        snapshots.recordLoaded(found.value);
      }
    }
    if (firstOffset > applied.appliedOffset + 1) {
      applied.setGap(firstOffset);
      return endOffset - 1;
    }
    const caughtUp = await this.catchUpToEnd();
    return caughtUp.isOk() ? caughtUp.value - 1 : null;
  }

  /**
   * Reads the log up to its current end.
   *
   * @returns its end offset, or an error if a read fails or returns none of the records before the end
   */
  async catchUpToEnd(): Promise<neverthrow.Result<number, stepError.StepError>> {
    const { applied, log } = this.parts;
    for (;;) {
      const fromOffset = applied.appliedOffset + 1;
      const knownBeforeReadOffset = applied.knownOffset;
      const read = await log.read(fromOffset);
      if (read.isErr()) return neverthrow.err(read.error);
      this.applyLogBatch(read.value);
      applied.correctKnownOffset(knownBeforeReadOffset, read.value.endOffset - 1);
      const { endOffset } = read.value;
      if (applied.appliedOffset + 1 >= endOffset) return neverthrow.ok(endOffset);
      const hasAdvanced = applied.appliedOffset >= fromOffset;
      if (!hasAdvanced)
        return neverthrow.err(partialReads.createPartialReadError(fromOffset, read.value));
    }
  }

  /** Applies the records of a read of the log, or enters the gap phase if earlier ones are missing. */
  applyLogBatch(batch: platform.LogBatch): void {
    const { applied } = this.parts;
    if (batch.firstOffset > applied.appliedOffset + 1) {
      applied.setGap(batch.firstOffset);
      return;
    }
    applied.knownOffset = Math.max(applied.knownOffset, batch.endOffset - 1);
    this.forward(applied.apply(batch.records));
  }

  /**
   * Requests the status of a few peers, and loads missing records or state from those ahead.
   *
   * @returns the highest applied offset of the ready peers that answered, or null if none did
   */
  async loadFromPeers(): Promise<number | null> {
    const { applied, exchange } = this.parts;
    const readers = this.parts.forwarder.selectReaders();
    const sources = readerRoles.selectSources(
      this.dependencies.fleetView,
      readers,
      this.sourceAttempt++,
    );
    const statuses = await Promise.all(sources.map((name) => exchange.requestStatus(name)));
    let highest: number | null = null;
    for (const [index, status] of statuses.entries()) {
      const name = sources[index];
      if (status?.isReady !== true || name === undefined) continue;
      highest = Math.max(highest ?? -1, status.appliedOffset);
      if (status.appliedOffset > applied.appliedOffset) await this.loadFromPeer(name);
    }
    return highest;
  }

  private async loadFromPeer(name: string): Promise<void> {
    const { applied, exchange } = this.parts;
    for (;;) {
      const fromOffset = applied.appliedOffset + 1;
      const answer = await exchange.requestRecords(name, fromOffset);
      if (answer === null) return;
      applied.knownOffset = Math.max(applied.knownOffset, answer.knownOffset);
      if (answer.records.length > 0) this.forward(applied.apply(answer.records));
      else if (answer.lowestOffset > fromOffset) await this.loadStateFrom(name);
      if (applied.appliedOffset < fromOffset) return;
    }
  }

  private async loadStateFrom(name: string): Promise<void> {
    const fetched = await this.parts.exchange.fetchState(name);
    if (fetched === null) return;
    if (this.parts.applied.applySnapshot(fetched.coveredOffset, fetched.parts)) {
      this.parts.snapshots.recordLoadedFromPeer();
    }
  }

  private forward(records: readonly platform.LogRecord[]): void {
    if (records.length > 0) this.parts.forwarder.forward(records);
  }
}
