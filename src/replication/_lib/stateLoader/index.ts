import * as neverthrow from "neverthrow";

import type * as stepError from "../../../_lib/stepError/index.js";
import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as announcer from "../announcer/index.js";
import type * as appliedState from "../appliedState/index.js";
import type * as logReader from "../logReader/index.js";
import type * as peerExchange from "../peerExchange/index.js";
import * as readerRoles from "../readerRoles/index.js";
import type * as snapshotKeeper from "../snapshotKeeper/index.js";

/** The parts of a follower that its loader moves. */
export interface LoaderParts<State> {
  readonly applied: appliedState.AppliedState<State>;
  readonly log: logReader.LogReader;
  readonly exchange: peerExchange.PeerExchange;
  readonly snapshots: snapshotKeeper.SnapshotKeeper<State>;
  readonly announcer: announcer.Announcer<State>;
}

/** Brings a state forward from the log or from peers, whichever can be reached. */
export class StateLoader<State> {
  private sourceAttempt = 0;

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly parts: LoaderParts<State>,
  ) {}

  /**
   * Loads the newest usable snapshot and the records after it.
   *
   * @returns the log's last offset, or null where the log cannot be read
   */
  async loadFromLog(): Promise<number | null> {
    const { applied, log, snapshots } = this.parts;
    const bounds = await log.probe();
    if (bounds.isErr()) return null;
    const { firstOffset, endOffset } = bounds.value;
    const isFar = endOffset - applied.appliedOffset > constants.RECORDS_PER_READ;
    if (isFar || firstOffset > applied.appliedOffset + 1) {
      const found = await log.findSnapshot(bounds.value, applied.appliedOffset);
      if (found.isErr()) return null;
      if (found.value !== null && applied.adopt(found.value.coveredOffset, found.value.parts)) {
        snapshots.noteLoaded(found.value);
      }
    }
    if (firstOffset > applied.appliedOffset + 1) {
      applied.noteGap(firstOffset);
      return endOffset - 1;
    }
    const caughtUp = await this.catchUpToEnd();
    return caughtUp.isOk() ? caughtUp.value - 1 : null;
  }

  /** Reads the log up to its present end and returns that; the error says why it cannot be read. */
  async catchUpToEnd(): Promise<neverthrow.Result<number, stepError.StepError>> {
    const { applied, log } = this.parts;
    for (;;) {
      const fromOffset = applied.appliedOffset + 1;
      const heardOffset = applied.knownOffset;
      const read = await log.read(fromOffset);
      if (read.isErr()) return neverthrow.err(read.error);
      this.takeLogBatch(read.value);
      applied.correctKnownOffset(heardOffset, read.value.endOffset - 1);
      const { endOffset } = read.value;
      const hasMoved = applied.appliedOffset >= fromOffset;
      if (applied.appliedOffset + 1 >= endOffset || !hasMoved) return neverthrow.ok(endOffset);
    }
  }

  /** Applies what a read of the log returned, or notes the gap before it. */
  takeLogBatch(batch: platform.LogBatch): void {
    const { applied } = this.parts;
    if (batch.firstOffset > applied.appliedOffset + 1) {
      applied.noteGap(batch.firstOffset);
      return;
    }
    applied.knownOffset = Math.max(applied.knownOffset, batch.endOffset - 1);
    this.passOn(applied.apply(batch.records));
  }

  /**
   * Asks a few peers where they stand, and takes from them what is missing here.
   *
   * @returns the highest offset of a ready peer that answered, or null where none did
   */
  async loadFromPeers(): Promise<number | null> {
    const { applied, exchange } = this.parts;
    const readers = this.parts.announcer.readers();
    const sources = readerRoles.selectSources(
      this.dependencies.fleetView,
      readers,
      this.sourceAttempt++,
    );
    const statuses = await Promise.all(sources.map((name) => exchange.askStatus(name)));
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
      const answer = await exchange.askRecords(name, fromOffset);
      if (answer === null) return;
      applied.knownOffset = Math.max(applied.knownOffset, answer.knownOffset);
      if (answer.records.length > 0) this.passOn(applied.apply(answer.records));
      else if (answer.lowestOffset > fromOffset) await this.loadStateFrom(name);
      if (applied.appliedOffset < fromOffset) return;
    }
  }

  private async loadStateFrom(name: string): Promise<void> {
    const fetched = await this.parts.exchange.fetchState(name);
    if (fetched === null) return;
    if (this.parts.applied.adopt(fetched.coveredOffset, fetched.parts)) {
      this.parts.snapshots.noteLoadedFromPeer();
    }
  }

  private passOn(records: readonly platform.LogRecord[]): void {
    if (records.length > 0) this.parts.announcer.announce(records);
  }
}
