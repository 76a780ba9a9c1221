import * as zod from "zod";

import * as fleetTypes from "../../../fleet/types.js";
import type * as contexts from "../context/index.js";
import type * as locators from "../locator/index.js";
import * as messages from "../messages/index.js";
import type * as owneds from "../owned/index.js";

/** Interval at which a shutdown looks at what is still held. */
const DRAIN_INTERVAL_MS = 100;

const claimAnswerSchema = zod.object({ isClaimed: zod.boolean() });

/** Hands over, or lets finish, everything that this VM holds before it leaves. */
export class Drain {
  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly holders: locators.Holders,
    private readonly locator: locators.Locator,
  ) {}

  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Claim, messages.attemptSchema, ({ requestId }) =>
      this.claim(requestId),
    );
  }

  /** Resolves once nothing is held that would be lost. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      // The last VM stays home of its engines, or what it holds could never finish.
      if (!this.isLast()) this.holders.owner.avoidance.excludeVm(this.context.link.selfName);
      this.moveRuns();
      await Promise.all(this.holders.owner.list().map((generation) => this.handOver(generation)));
      if (this.isEmpty()) return;
      await this.context.clock.sleep(DRAIN_INTERVAL_MS, signal).catch(() => undefined);
    }
  }

  private isEmpty(): boolean {
    const hasRuns = this.holders.home.listRuns().some((run) => !run.isEnded);
    const isSafe = (generation: owneds.OwnedGeneration): boolean =>
      generation.isHandedOver || (this.isLast() && !generation.isActive);
    return !hasRuns && this.holders.owner.list().every(isSafe);
  }

  /** Runs go on at the engines' next homes, which resume the streams. */
  private moveRuns(): void {
    if (this.isLast()) return;
    for (const run of this.holders.home.listRuns()) {
      run.end(messages.RunEndKind.HomeLeaving, "the home shuts down");
    }
  }

  /** A generation whose caller reads here is finished here; all others go to their keepers. */
  private async handOver(generation: owneds.OwnedGeneration): Promise<void> {
    const { record } = generation;
    if (generation.isHandedOver || generation.deliveries.isAttached || record.keeperVm === null)
      return;
    const answer = await this.context.link.call(
      record.keeperVm,
      messages.Method.Claim,
      { requestId: record.requestId, attempt: record.attempt },
      claimAnswerSchema,
    );
    const isClaimed = answer.isOk() && answer.value.isClaimed;
    if (isClaimed) generation.trace("owner.handed-over", `to ${record.keeperVm}`);
  }

  private async claim(requestId: string): Promise<{ isClaimed: boolean }> {
    if (this.holders.owner.find(requestId)?.isCurrentOwner === true) return { isClaimed: true };
    const located = await this.locator.locate(requestId);
    const taken = await this.locator.takeOver(requestId, located);
    return { isClaimed: taken !== null };
  }

  /** Whether no other VM could take anything over. */
  private isLast(): boolean {
    const { selfName } = this.context.link;
    return !this.context.fleet
      .members()
      .some(({ name, state }) => name !== selfName && state === fleetTypes.MemberState.Live);
  }
}
