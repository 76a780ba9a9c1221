import * as zod from "zod";

import * as fleetTypes from "../../../fleet/types.js";
import type * as contexts from "../context/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";
import type * as ownedGenerations from "../ownedGeneration/index.js";

/** Interval at which a draining VM tries again to hand over what it still holds. */
const DRAIN_INTERVAL_MS = 100;

const claimAnswerSchema = zod.object({ isClaimed: zod.boolean() });

/** Hands over or finishes all generations and runs of this VM before it leaves the fleet. */
export class Drain {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly roles: locators.RoleHandlers,
    private readonly locator: locators.Locator,
  ) {}

  /** Registers the message handlers. */
  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Claim, messages.attemptSchema, ({ requestId }) =>
      this.claim(requestId),
    );
  }

  /** Resolves once the VM can stop without losing a generation, or when the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // The last live VM stays the home of its engines; otherwise its generations could not finish.
      if (!this.isLastLiveVm()) this.roles.owner.avoidance.excludeVm(this.context.link.selfName);
      this.handOverRuns();
      await Promise.all(this.roles.owner.list().map((generation) => this.handOver(generation)));
      if (this.isEmpty()) return;
      await this.context.clock.sleep(DRAIN_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private isEmpty(): boolean {
    const hasRuns = this.roles.home.listRuns().some((run) => !run.isEnded);
    const isSafe = (generation: ownedGenerations.OwnedGeneration): boolean =>
      generation.canBeForgotten || (this.isLastLiveVm() && !generation.isActive);
    return !hasRuns && this.roles.owner.list().every(isSafe);
  }

  /** Ends the runs here; the engines' next homes resume the streams. */
  private handOverRuns(): void {
    if (this.isLastLiveVm()) return;
    for (const run of this.roles.home.listRuns()) {
      run.end(messages.RunEndKind.HomeLeaving, "the home shuts down");
    }
  }

  /** Hands a generation over to its standby, unless a caller is attached here. */
  private async handOver(generation: ownedGenerations.OwnedGeneration): Promise<void> {
    const { record } = generation;
    if (generation.canBeForgotten || generation.deliveries.isAttached || record.standbyVm === null)
      return;
    const answer = await this.context.link.call(
      record.standbyVm,
      messages.Method.Claim,
      { requestId: record.requestId, attempt: record.attempt },
      claimAnswerSchema,
    );
    const isClaimed = answer.isOk() && answer.value.isClaimed;
    if (isClaimed) generation.trace("owner.handed-over", `to ${record.standbyVm}`);
  }

  /** Takes a generation over from an owner that drains. */
  private async claim(requestId: string): Promise<{ isClaimed: boolean }> {
    if (this.roles.owner.find(requestId)?.isCurrentOwner === true) return { isClaimed: true };
    const located = await this.locator.locate(requestId);
    const taken = await this.locator.takeOver(requestId, located);
    return { isClaimed: taken !== null };
  }

  /** Whether no other live VM could take over this VM's work. */
  private isLastLiveVm(): boolean {
    const { selfName } = this.context.link;
    return !this.context.fleet
      .members()
      .some(({ name, state }) => name !== selfName && state === fleetTypes.MemberState.Live);
  }
}
