import type * as logging from "../../../_lib/logger/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as types from "../../types.js";
import * as dataCentreContacts from "../dataCentreContacts/index.js";
import * as gossipQueue from "../gossipQueue/index.js";
import * as isSuperseding from "../isSuperseding/index.js";
import * as memberTable from "../memberTable/index.js";

/** The records of this VM and of all members, and the queue of updates to be gossiped. */
export class MembershipState {
  readonly table = new memberTable.MemberTable();
  readonly gossip = new gossipQueue.GossipQueue();
  readonly contacts = new dataCentreContacts.DataCentreContacts();
  private ownRecord: types.VmMember;

  constructor(
    private readonly options: types.MembershipOptions,
    incarnation: number,
    private readonly onChanged: () => void,
    private readonly logger: logging.Logger,
    private readonly metrics: telemetry.Metrics,
  ) {
    this.ownRecord = { ...options.self, state: types.MemberState.Live, incarnation };
    this.gossip.add(this.ownRecord);
  }

  /** This VM's own record, as sent to others. */
  get self(): types.VmMember {
    return this.ownRecord;
  }

  /** Number of members that are not known to be dead, including this VM. */
  get nonDeadCount(): number {
    return 1 + this.nonDeadPeers().length;
  }

  /** Members that are not known to be dead, without this VM. */
  nonDeadPeers(): readonly types.VmMember[] {
    return this.table.nonDeadMembers();
  }

  /** Names of the data centres with members that are not dead, including this VM's own. */
  dataCentres(): ReadonlySet<string> {
    return new Set([this.self, ...this.nonDeadPeers()].map((member) => member.dataCentre));
  }

  /**
   * Applies a record of any member, including this VM, and gossips it if it is new. If it is
   * outdated, the known record is gossiped again.
   */
  apply(update: types.VmMember, nowMs: number): void {
    if (update.name === this.self.name) {
      this.applyToSelf(update);
      return;
    }
    const known = this.table.get(update.name);
    const result = this.table.merge(update, nowMs);
    if (result === memberTable.MergeResult.Outdated && known !== undefined) this.gossip.add(known);
    if (result !== memberTable.MergeResult.Applied) return;
    this.gossip.add(update);
    this.logStateChange(update, known);
    this.onChanged();
  }

  /** Sets the state of another member within its current incarnation. */
  setMemberState(member: types.VmMember, state: types.MemberState, nowMs: number): void {
    this.apply({ ...member, state }, nowMs);
  }

  /** Sets this VM's own state and gossips it under a new incarnation. */
  announceOwnState(state: types.MemberState): void {
    this.setSelf({ ...this.self, state, incarnation: this.self.incarnation + 1 });
  }

  /** Other data centres whose last contact is older than the configured limit. */
  partitionedDataCentres(nowMs: number): ReadonlySet<string> {
    const dataCentres = this.dataCentres();
    const { dataCentreSilenceMs, dataCentreSilencePerDataCentreMs } = this.options;
    const limitMs = dataCentreSilenceMs + dataCentreSilencePerDataCentreMs * dataCentres.size;
    const partitioned = [...dataCentres].filter(
      (name) => name !== this.self.dataCentre && this.contacts.ageMs(name, nowMs) > limitMs,
    );
    return new Set(partitioned);
  }

  /** Refutes a record that supersedes this VM's own; an announced leaving state is adopted. */
  private applyToSelf(update: types.VmMember): void {
    if (
      isSuperseding.processOf(update.incarnation) > isSuperseding.processOf(this.self.incarnation)
    ) {
      this.onReplaced(update);
      return;
    }
    if (!isSuperseding.isSuperseding(update, this.self)) return;
    const state =
      update.state === types.MemberState.Leaving ? types.MemberState.Leaving : this.self.state;
    this.metrics.increment("fleet.refuted");
    this.setSelf({ ...this.self, state, incarnation: update.incarnation + 1 });
  }

  /**
   * Handles a record of a later process under this VM's name. If it has another endpoint, this
   * process counts itself as dead; otherwise it takes a higher incarnation.
   */
  private onReplaced(update: types.VmMember): void {
    if (isSameEndpoint(update, this.self)) {
      this.setSelf({ ...this.self, incarnation: update.incarnation + 1 });
      return;
    }
    if (this.self.state === types.MemberState.Dead) return;
    this.logger.warn(
      { address: update.peerAddress },
      "a later process runs under this VM's name; this process counts itself as dead",
    );
    this.ownRecord = { ...this.self, state: types.MemberState.Dead };
    this.table.invalidateDigests();
    this.onChanged();
  }

  private setSelf(record: types.VmMember): void {
    this.ownRecord = record;
    this.table.invalidateDigests();
    this.gossip.add(record);
    this.onChanged();
  }

  private logStateChange(update: types.VmMember, known: types.VmMember | undefined): void {
    if (update.state === known?.state) return;
    this.metrics.increment("fleet.member_changed", 1, { state: update.state });
    this.logger.info(
      { peer: update.name, from: known?.state, to: update.state },
      "member state changed",
    );
  }
}

function isSameEndpoint(left: types.VmIdentity, right: types.VmIdentity): boolean {
  return left.peerAddress === right.peerAddress && left.heartbeatPort === right.heartbeatPort;
}
