import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as appliedState from "../appliedState/index.js";
import type * as peerExchange from "../peerExchange/index.js";
import * as readerRoles from "../readerRoles/index.js";

/** A reader's messages to the VMs of its data centre that follow it. */
export class Announcer<State> {
  private announcedAtMs = 0;

  constructor(
    private readonly dependencies: types.FollowerDependencies,
    private readonly stream: platform.LogStream,
    private readonly options: types.FollowerOptions,
    private readonly applied: appliedState.AppliedState<State>,
    private readonly exchange: peerExchange.PeerExchange,
  ) {}

  /** The VMs that read the stream in this data centre. */
  readers(): string[] {
    const { fleetView } = this.dependencies;
    return readerRoles.selectReaders(fleetView, this.stream, this.options.readersPerDataCentre);
  }

  /** The reader that passes records on to this VM. */
  ownReader(): string | undefined {
    return readerRoles.preferredReader(this.readers(), this.dependencies.fleetView.self.name);
  }

  isReader(): boolean {
    return this.readers().includes(this.dependencies.fleetView.self.name);
  }

  /** Passes applied records on. */
  announce(records: readonly platform.LogRecord[]): void {
    const readers = this.readers();
    const { clock, fleetView } = this.dependencies;
    if (!readers.includes(fleetView.self.name)) return;
    this.announcedAtMs = clock.nowMs();
    const followers = readerRoles.selectServedFollowers(fleetView, readers);
    const { knownOffset } = this.applied;
    for (let start = 0; start === 0 || start < records.length;) {
      const batch = records.slice(start, start + constants.RECORDS_PER_MESSAGE);
      for (const name of followers) this.exchange.push(name, { records: batch, knownOffset });
      start += constants.RECORDS_PER_MESSAGE;
    }
  }

  /** Tells followers the known end where nothing was sent for a while. */
  announceIfIdle(): void {
    const idleMs = this.dependencies.clock.nowMs() - this.announcedAtMs;
    if (idleMs >= constants.READER_ANNOUNCE_MS) this.announce([]);
  }
}
