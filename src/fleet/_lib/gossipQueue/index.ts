import * as constants from "../../constants.js";
import type * as types from "../../types.js";

interface QueuedUpdate {
  readonly member: types.VmMember;
  sentCount: number;
}

/** Changes about members that ride on heartbeats, each a bounded number of times. */
export class GossipQueue {
  private readonly updates = new Map<string, QueuedUpdate>();

  /** Queues the latest news about a member in place of older news about it. */
  add(member: types.VmMember): void {
    this.updates.set(member.name, { member, sentCount: 0 });
  }

  /**
   * Takes the news that were sent least often.
   *
   * @param membersCount - how many members there are; it bounds the repetitions
   */
  take(membersCount: number): readonly types.VmMember[] {
    const maxSentCount = constants.GOSSIP_MULTIPLIER * Math.ceil(Math.log10(membersCount + 1));
    const chosen = [...this.updates.values()]
      .sort((left, right) => left.sentCount - right.sentCount)
      .slice(0, constants.MAX_UPDATES_PER_HEARTBEAT);
    for (const update of chosen) {
      update.sentCount += 1;
      if (update.sentCount >= maxSentCount) this.updates.delete(update.member.name);
    }
    return chosen.map((update) => update.member);
  }
}
