import * as fleetTypes from "../../../fleet/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";

/** Takes over the generations held here whose owner is gone, also when no caller asks for them. */
export class OrphanWatch {
  private readonly claimed = new Set<string>();
  private readonly orphanedSinceMs = new Map<string, number>();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly holders: locators.Holders,
    private readonly locator: locators.Locator,
  ) {}

  /** Claims what has been without an owner for long enough. */
  watch(nowMs: number): void {
    const orphans = new Set<string>();
    for (const { requestId, ownerVm } of this.holders.keeper.list()) {
      if (this.isGone(ownerVm)) orphans.add(requestId);
    }
    for (const run of this.holders.home.listRuns()) {
      const isOverdue = nowMs - run.lastOwnerContactAtMs > constants.ORPHAN_AFTER_MS;
      if (this.isGone(run.ownerVm) && isOverdue) orphans.add(run.requestId);
    }
    for (const requestId of this.orphanedSinceMs.keys()) {
      if (!orphans.has(requestId)) this.orphanedSinceMs.delete(requestId);
    }
    for (const requestId of orphans) this.consider(requestId, nowMs);
  }

  private consider(requestId: string, nowMs: number): void {
    const sinceMs = this.orphanedSinceMs.get(requestId) ?? nowMs;
    this.orphanedSinceMs.set(requestId, sinceMs);
    const isSettling = nowMs - sinceMs < constants.CLAIM_DELAY_MS;
    if (isSettling || this.claimed.has(requestId)) return;
    this.claimed.add(requestId);
    void this.claim(requestId).finally(() => this.claimed.delete(requestId));
  }

  private async claim(requestId: string): Promise<void> {
    if (this.holders.owner.find(requestId)?.isCurrentOwner === true) return;
    const located = await this.locator.locate(requestId);
    const owner = located.find((holder) => holder.answer.role === messages.HolderRole.Owner);
    if (owner !== undefined) {
      this.holders.keeper.noteOwner(requestId, owner.vmName);
      return;
    }
    await this.locator.takeOver(requestId, located);
  }

  private isGone(vmName: string): boolean {
    const member = this.context.fleet.members().find((candidate) => candidate.name === vmName);
    return member === undefined || member.state === fleetTypes.MemberState.Dead;
  }
}
