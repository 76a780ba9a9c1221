import type * as randoms from "../../../_lib/random/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import type * as membershipState from "../membershipState/index.js";
import * as selectRelays from "../selectRelays/index.js";

/** Bound of a relay's random starting offset, so that relays start with different data centres. */
const MAX_DATA_CENTRE_INDEX_OFFSET = 1_000;

/**
 * Selects the targets of heartbeats. Members of this VM's data centre take turns in an order that
 * is shuffled again for each round, other data centres in a fixed order.
 */
export class PartnerPicker {
  /** Names of the members that are still to be selected in the current round. */
  private remainingNames: string[] = [];
  private dataCentreIndex = 0;
  private readonly dataCentreIndexOffset: number;

  constructor(
    private readonly state: membershipState.MembershipState,
    private readonly random: randoms.RandomSource,
  ) {
    this.dataCentreIndexOffset = Math.floor(random.next() * MAX_DATA_CENTRE_INDEX_OFFSET);
  }

  /** Selects up to `count` next members of this VM's data centre that are not dead. */
  selectInDataCentre(count: number): readonly types.VmMember[] {
    const chosen: types.VmMember[] = [];
    for (let attempt = 0; attempt < count; attempt += 1) {
      const member = this.takeNextMember();
      if (member !== undefined && !chosen.includes(member)) chosen.push(member);
    }
    return chosen;
  }

  /** Selects a member of the next remote data centre; undefined if this VM is not a relay. */
  selectAcrossDataCentres(): types.VmMember | undefined {
    const { self } = this.state;
    const all = [self, ...this.state.nonDeadPeers()];
    const isRelay = selectRelays
      .selectRelays(self.dataCentre, all)
      .some((relay) => relay.name === self.name);
    if (!isRelay) return undefined;
    const dataCentre = this.takeNextDataCentre();
    return dataCentre === undefined ? undefined : this.pickInDataCentre(dataCentre);
  }

  /** Selects live members that are asked to probe one that has not answered. */
  selectIndirectProbers(member: types.VmMember): readonly types.VmMember[] {
    const candidates = this.membersIn(this.state.self.dataCentre).filter(
      (other) => other.name !== member.name && other.state === types.MemberState.Live,
    );
    return this.shuffle(candidates).slice(0, constants.INDIRECT_PROBES_COUNT);
  }

  /** Selects a random dead member of this VM's data centre. */
  pickDead(): types.VmMember | undefined {
    const dead = this.state.table
      .members()
      .filter(
        (member) =>
          member.dataCentre === this.state.self.dataCentre &&
          member.state === types.MemberState.Dead,
      );
    return this.pickOne(dead);
  }

  private takeNextMember(): types.VmMember | undefined {
    for (;;) {
      if (this.remainingNames.length === 0) this.remainingNames = this.shuffleMemberNames();
      const name = this.remainingNames.pop();
      if (name === undefined) return undefined;
      const member = this.state.table.get(name);
      if (member !== undefined && member.state !== types.MemberState.Dead) return member;
    }
  }

  private shuffleMemberNames(): string[] {
    const members = this.membersIn(this.state.self.dataCentre);
    return this.shuffle(members.map((member) => member.name));
  }

  /** Iterates over the data centres in a fixed order, which bounds the time between contacts. */
  private takeNextDataCentre(): string | undefined {
    const own = this.state.self.dataCentre;
    const others = [...this.state.dataCentres()].filter((name) => name !== own).sort();
    this.dataCentreIndex += 1;
    return others[(this.dataCentreIndex + this.dataCentreIndexOffset) % Math.max(1, others.length)];
  }

  /** Selects mostly a relay, and sometimes any member, in case all relays failed undetected. */
  private pickInDataCentre(dataCentre: string): types.VmMember | undefined {
    const members = this.membersIn(dataCentre);
    const isExploring = this.random.next() < constants.RELAY_EXPLORATION_RATIO;
    const candidates = isExploring ? members : selectRelays.selectRelays(dataCentre, members);
    return this.pickOne(candidates);
  }

  private pickOne<T>(candidates: readonly T[]): T | undefined {
    return candidates[Math.floor(this.random.next() * candidates.length)];
  }

  private membersIn(dataCentre: string): readonly types.VmMember[] {
    return this.state.nonDeadPeers().filter((member) => member.dataCentre === dataCentre);
  }

  private shuffle<T>(items: readonly T[]): T[] {
    const shuffled = [...items];
    for (let last = shuffled.length - 1; last > 0; last -= 1) {
      const chosen = Math.floor(this.random.next() * (last + 1));
      const [left, right] = [shuffled[last], shuffled[chosen]];
      if (left === undefined || right === undefined) continue;
      shuffled[last] = right;
      shuffled[chosen] = left;
    }
    return shuffled;
  }
}
