import type * as randoms from "../../../_lib/random/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import type * as membershipState from "../membershipState/index.js";
import * as selectRelays from "../selectRelays/index.js";

/** Relays of a data centre begin with different ones of the others. */
const MAX_FIRST_TURN = 1_000;

/** Chooses the members that heartbeats go to: each in turn, in an order that is shuffled anew. */
export class PartnerPicker {
  private members: string[] = [];
  private dataCentreTurn = 0;
  private readonly firstTurn: number;

  constructor(
    private readonly state: membershipState.MembershipState,
    private readonly random: randoms.RandomSource,
  ) {
    this.firstTurn = Math.floor(random.next() * MAX_FIRST_TURN);
  }

  /** The next members of this VM's data centre, the dead left out. */
  nextInDataCentre(count: number): readonly types.VmMember[] {
    const chosen: types.VmMember[] = [];
    for (let attempt = 0; attempt < count; attempt += 1) {
      const member = this.nextMember();
      if (member !== undefined && !chosen.includes(member)) chosen.push(member);
    }
    return chosen;
  }

  /** The member of another data centre that is next, where this VM is a relay. */
  nextAcrossDataCentres(): types.VmMember | undefined {
    const { self } = this.state;
    const all = [self, ...this.state.others()];
    const isRelay = selectRelays
      .selectRelays(self.dataCentre, all)
      .some((relay) => relay.name === self.name);
    if (!isRelay) return undefined;
    const dataCentre = this.nextDataCentre();
    return dataCentre === undefined ? undefined : this.pickIn(dataCentre);
  }

  /** Members that may reach one which has not answered. */
  helpersFor(member: types.VmMember): readonly types.VmMember[] {
    const candidates = this.inDataCentre(this.state.self.dataCentre).filter(
      (other) => other.name !== member.name && other.state === types.MemberState.Live,
    );
    return this.shuffle(candidates).slice(0, constants.INDIRECT_PROBES_COUNT);
  }

  /** A dead member of this VM's data centre. */
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

  private nextMember(): types.VmMember | undefined {
    for (;;) {
      if (this.members.length === 0) this.members = this.shuffledMembers();
      const name = this.members.pop();
      if (name === undefined) return undefined;
      const member = this.state.table.get(name);
      if (member !== undefined && member.state !== types.MemberState.Dead) return member;
    }
  }

  private shuffledMembers(): string[] {
    const members = this.inDataCentre(this.state.self.dataCentre);
    return this.shuffle(members.map((member) => member.name));
  }

  /** In the same order each time, so that the time between two contacts is bounded. */
  private nextDataCentre(): string | undefined {
    const own = this.state.self.dataCentre;
    const others = [...this.state.dataCentres()].filter((name) => name !== own).sort();
    this.dataCentreTurn += 1;
    return others[(this.dataCentreTurn + this.firstTurn) % Math.max(1, others.length)];
  }

  /** Mostly a relay; sometimes any member, in case both relays are gone unnoticed. */
  private pickIn(dataCentre: string): types.VmMember | undefined {
    const members = this.inDataCentre(dataCentre);
    const isExploring = this.random.next() < constants.RELAY_EXPLORATION_RATIO;
    const candidates = isExploring ? members : selectRelays.selectRelays(dataCentre, members);
    return this.pickOne(candidates);
  }

  private pickOne<T>(candidates: readonly T[]): T | undefined {
    return candidates[Math.floor(this.random.next() * candidates.length)];
  }

  private inDataCentre(dataCentre: string): readonly types.VmMember[] {
    return this.state.others().filter((member) => member.dataCentre === dataCentre);
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
