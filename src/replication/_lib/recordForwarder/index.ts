import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as appliedState from "../appliedState/index.js";
import type * as peerExchange from "../peerExchange/index.js";
import * as readerRoles from "../readerRoles/index.js";

/** Forwards records from a reader to the followers assigned to it in its data centre. */
export class RecordForwarder<State> {
  private lastSentAtMs = 0;

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly stream: platform.LogStream,
    private readonly options: types.FollowerOptions,
    private readonly applied: appliedState.AppliedState<State>,
    private readonly exchange: peerExchange.PeerExchange,
  ) {}

  /** Returns the VMs of this data centre that read the stream from the log. */
  selectReaders(): string[] {
    const { fleetView } = this.dependencies;
    return readerRoles.selectReaders(fleetView, this.stream, this.options.readersPerDataCentre);
  }

  /** Returns the reader that forwards records to this VM; undefined if there is no reader. */
  assignedReader(): string | undefined {
    return readerRoles.selectAssignedReader(
      this.selectReaders(),
      this.dependencies.fleetView.self.name,
    );
  }

  /** Whether this VM reads the stream from the log. */
  isReader(): boolean {
    return this.selectReaders().includes(this.dependencies.fleetView.self.name);
  }

  /** Sends applied records to this VM's followers, if it is a reader. */
  forward(records: readonly platform.LogRecord[]): void {
    const readers = this.selectReaders();
    const { clock, fleetView } = this.dependencies;
    if (!readers.includes(fleetView.self.name)) return;
    this.lastSentAtMs = clock.nowMs();
    const followers = readerRoles.selectServedFollowers(fleetView, readers);
    const { knownOffset } = this.applied;
    for (let start = 0; start === 0 || start < records.length;) {
      const batch = records.slice(start, start + constants.RECORDS_PER_MESSAGE);
      for (const name of followers) this.exchange.push(name, { records: batch, knownOffset });
      start += constants.RECORDS_PER_MESSAGE;
    }
  }

  /** Sends the known offset to the followers if nothing was sent for the keepalive interval. */
  sendKnownOffsetIfIdle(): void {
    const idleMs = this.dependencies.clock.nowMs() - this.lastSentAtMs;
    if (idleMs >= constants.READER_KEEPALIVE_INTERVAL_MS) this.forward([]);
  }
}
