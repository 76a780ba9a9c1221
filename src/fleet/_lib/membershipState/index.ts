import type * as logging from "../../../_lib/logger/index.js";
import type * as telemetry from "../../../telemetry/types.js";
import * as types from "../../types.js";
import * as dataCentreContacts from "../dataCentreContacts/index.js";
import * as gossipQueue from "../gossipQueue/index.js";
import * as isSuperseding from "../isSuperseding/index.js";
import * as memberTable from "../memberTable/index.js";

/** What this VM knows of itself and of the others, and what it still has to tell them. */
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

  /** This VM's own record, as it tells it to others. */
  get self(): types.VmMember {
    return this.ownRecord;
  }

  /** Number of members that are not known to be dead, this VM included. */
  get membersCount(): number {
    return 1 + this.others().length;
  }

  /** Members that are not known to be dead, without this VM. */
  others(): readonly types.VmMember[] {
    return this.table.alive();
  }

  /** Names of the data centres that have members, the own one included. */
  dataCentres(): ReadonlySet<string> {
    return new Set([this.self, ...this.others()].map((member) => member.dataCentre));
  }

  /** Takes news about any member, this VM included. */
  apply(news: types.VmMember, nowMs: number): void {
    if (news.name === this.self.name) {
      this.applyToSelf(news);
      return;
    }
    const known = this.table.get(news.name);
    const result = this.table.merge(news, nowMs);
    if (result === memberTable.MergeResult.Outdated && known !== undefined) this.gossip.add(known);
    if (result !== memberTable.MergeResult.Applied) return;
    this.gossip.add(news);
    this.report(news, known);
    this.onChanged();
  }

  /** Changes what is believed of another member, within its incarnation. */
  declare(member: types.VmMember, state: types.MemberState, nowMs: number): void {
    this.apply({ ...member, state }, nowMs);
  }

  /** Changes this VM's own state and tells the others under a new incarnation. */
  announce(state: types.MemberState): void {
    this.setSelf({ ...this.self, state, incarnation: this.self.incarnation + 1 });
  }

  /** Other data centres with which there has been no contact for too long. */
  cutOffDataCentres(nowMs: number): ReadonlySet<string> {
    const dataCentres = this.dataCentres();
    const { dataCentreSilenceMs, dataCentreSilencePerDataCentreMs } = this.options;
    const limitMs = dataCentreSilenceMs + dataCentreSilencePerDataCentreMs * dataCentres.size;
    const cutOff = [...dataCentres].filter(
      (name) => name !== this.self.dataCentre && this.contacts.ageMs(name, nowMs) > limitMs,
    );
    return new Set(cutOff);
  }

  private applyToSelf(news: types.VmMember): void {
    if (
      isSuperseding.processOf(news.incarnation) > isSuperseding.processOf(this.self.incarnation)
    ) {
      this.onReplaced(news);
      return;
    }
    if (!isSuperseding.isSuperseding(news, this.self)) return;
    const state =
      news.state === types.MemberState.Leaving ? types.MemberState.Leaving : this.self.state;
    this.metrics.increment("fleet.refuted");
    this.setSelf({ ...this.self, state, incarnation: news.incarnation + 1 });
  }

  /** A later process runs under this VM's name: this one takes no part any more. */
  private onReplaced(news: types.VmMember): void {
    if (isSameEndpoint(news, this.self)) {
      this.setSelf({ ...this.self, incarnation: news.incarnation + 1 });
      return;
    }
    if (this.self.state === types.MemberState.Dead) return;
    this.logger.warn({ address: news.peerAddress }, "another process runs under this VM's name");
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

  private report(news: types.VmMember, known: types.VmMember | undefined): void {
    if (news.state === known?.state) return;
    this.metrics.increment("fleet.member_changed", 1, { state: news.state });
    this.logger.info({ peer: news.name, from: known?.state, to: news.state }, "member changed");
  }
}

function isSameEndpoint(left: types.VmIdentity, right: types.VmIdentity): boolean {
  return left.peerAddress === right.peerAddress && left.heartbeatPort === right.heartbeatPort;
}
