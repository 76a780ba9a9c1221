import * as constants from "../../constants.js";
import type * as types from "../../types.js";

interface QueuedUpdate {
  readonly member: types.VmMember;
  sentCount: number;
}

/** Member updates that are piggybacked on heartbeats, each a bounded number of times. */
export class GossipQueue {
  private readonly updates = new Map<string, QueuedUpdate>();

  /** Queues a member's latest record, replacing an older one of the same member. */
  add(member: types.VmMember): void {
    this.updates.set(member.name, { member, sentCount: 0 });
  }

  /**
   * Returns the updates that were sent least often, and counts each as sent once more. An update
   * is removed when it reaches its maximum.
   *
   * @param membersCount - number of members; it bounds how often an update is sent
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
