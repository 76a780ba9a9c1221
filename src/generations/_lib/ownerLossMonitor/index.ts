import * as fleetTypes from "../../../fleet/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";

/** Takes over generations held here whose owner is dead or unknown, with or without a caller. */
export class OwnerLossMonitor {
  private readonly pendingClaims = new Set<string>();
  private readonly ownerLostSinceMs = new Map<string, number>();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly roles: locators.RoleHandlers,
    private readonly locator: locators.Locator,
  ) {}

  /** Claims generations whose owner has been unavailable for longer than `CLAIM_DELAY_MS`. */
  checkOwners(nowMs: number): void {
    const ownerless = new Set<string>();
    for (const { requestId, ownerVm } of this.roles.standby.list()) {
      if (this.isUnavailable(ownerVm)) ownerless.add(requestId);
    }
    for (const run of this.roles.home.listRuns()) {
      const isOverdue = nowMs - run.lastOwnerContactAtMs > constants.OWNER_SILENCE_TIMEOUT_MS;
      if (this.isUnavailable(run.ownerVm) && isOverdue) ownerless.add(run.requestId);
    }
    for (const requestId of this.ownerLostSinceMs.keys()) {
      if (!ownerless.has(requestId)) this.ownerLostSinceMs.delete(requestId);
    }
    for (const requestId of ownerless) this.claimWhenDue(requestId, nowMs);
  }

  private claimWhenDue(requestId: string, nowMs: number): void {
    const sinceMs = this.ownerLostSinceMs.get(requestId) ?? nowMs;
    this.ownerLostSinceMs.set(requestId, sinceMs);
    const isTooEarly = nowMs - sinceMs < constants.CLAIM_DELAY_MS;
    if (isTooEarly || this.pendingClaims.has(requestId)) return;
    this.pendingClaims.add(requestId);
    void this.claim(requestId).finally(() => this.pendingClaims.delete(requestId));
  }

  private async claim(requestId: string): Promise<void> {
    if (this.roles.owner.find(requestId)?.isCurrentOwner === true) return;
    const located = await this.locator.locate(requestId);
    const owner = located.find((holder) => holder.answer.role === messages.HolderRole.Owner);
    if (owner !== undefined) {
      this.roles.standby.recordOwner(requestId, owner.vmName);
      return;
    }
    await this.locator.takeOver(requestId, located);
  }

  private isUnavailable(vmName: string): boolean {
    const member = this.context.fleet.members().find((candidate) => candidate.name === vmName);
    return member === undefined || member.state === fleetTypes.MemberState.Dead;
  }
}
