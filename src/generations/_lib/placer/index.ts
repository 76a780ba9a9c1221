import * as stepError from "../../../_lib/stepError/index.js";
import type * as engines from "../../../engines/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as errors from "../errors/index.js";
import type * as mailboxes from "../mailbox/index.js";
import * as messages from "../messages/index.js";
import * as placements from "../placement/index.js";
import type * as records from "../generationRecord/index.js";
import type * as replicators from "../replicator/index.js";
import type * as views from "../engineViews/index.js";
import type * as waitingHandlers from "../waitingHandlers/index.js";
import * as engineRequests from "../engineRequest/index.js";

/** Services shared by all owned generations of a VM. */
export interface OwnerServices {
  readonly context: contexts.GenerationContext;
  readonly views: views.EngineViews;
  readonly avoidance: placements.Avoidance;
  readonly replicator: replicators.Replicator;
  readonly waiting: waitingHandlers.WaitingHandlers;
}

/** Events that the task of an owned generation handles; "room" is an offer of capacity. */
export type OwnerEvent =
  | { readonly kind: "settled" }
  | { readonly kind: "stepped-down" }
  | { readonly kind: "room"; readonly engineName: string }
  | { readonly kind: "retry" }
  | { readonly kind: "home-lost"; readonly reason: string }
  | { readonly kind: "run-ended"; readonly ended: messages.RunEnded };

/** The members of an owned generation that its placer uses. */
export interface PlacedGeneration {
  readonly record: records.GenerationRecord;
  readonly acceptedAtMs: number;
  readonly events: mailboxes.Mailbox<OwnerEvent>;
  readonly isActive: boolean;
  onPlaced(target: placements.Target): void;
  onWaiting(reason: string): void;
  stepDown(ownerVm: string, attempt: number): void;
  giveUp(error: stepError.StepError): void;
  cancelRun(): void;
  trace(step: string, reason: string, engineName?: string): void;
}

/** Selects an engine for a generation and dispatches it there, or waits for capacity. */
export class Placer {
  /** The engine to try first: one whose home offered capacity or suspended the last run. */
  preferredEngine: string | null = null;
  private readonly verdictHandlers: Record<
    messages.DispatchVerdict,
    (target: placements.Target, answer: messages.DispatchAnswer) => Promise<boolean> | boolean
  > = {
    [messages.DispatchVerdict.Admitted]: (target) => this.onAdmitted(target),
    [messages.DispatchVerdict.Wait]: (_target, answer) => this.waitForCapacity(answer.reason),
    [messages.DispatchVerdict.Refused]: (_target, answer) => this.onRefused(answer),
    [messages.DispatchVerdict.Unavailable]: (target, answer) => this.onUnavailable(target, answer),
    [messages.DispatchVerdict.Superseded]: (_target, answer) => this.onSuperseded(answer),
  };

  constructor(
    private readonly services: OwnerServices,
    private readonly generation: PlacedGeneration,
  ) {}

  /** Makes one placement attempt; false if the generation has to be placed again. */
  async place(): Promise<boolean> {
    const { generation, services } = this;
    const target = placements.selectTarget(services, generation.record, this.preferredEngine);
    this.preferredEngine = null;
    if (target === null)
      return this.waitForCapacity(
        `no available engine for model ${this.generation.record.request.entry.model}`,
      );
    const answer = await placements.dispatch(services, generation.record, target);
    if (!generation.isActive) {
      generation.cancelRun();
      return false;
    }
    if (answer.isOk()) return this.verdictHandlers[answer.value.verdict](target, answer.value);
    this.onHomeUnreachable(target, answer.error);
    return false;
  }

  private onAdmitted(target: placements.Target): boolean {
    this.services.waiting.remove(this.generation.record.requestId);
    this.generation.onPlaced(target);
    return true;
  }

  private async waitForCapacity(reason: string): Promise<boolean> {
    this.generation.onWaiting(reason);
    this.services.waiting.enqueue(this.createNeed());
    const timer = this.services.context.clock.schedule(constants.WAITING_RETRY_MS, () =>
      this.generation.events.push({ kind: "retry" }),
    );
    const event = await this.generation.events.next();
    timer[Symbol.dispose]();
    if (event.kind === "settled" || event.kind === "stepped-down") {
      this.services.waiting.remove(this.generation.record.requestId);
    }
    if (event.kind === "room") this.preferredEngine = event.engineName;
    return false;
  }

  private createNeed(): engines.GenerationNeed {
    const { record, acceptedAtMs } = this.generation;
    const { clock } = this.services.context;
    const remainingMs = record.request.deadlineAtWallMs - clock.wallTimeMs();
    return engineRequests.createNeed(record.request, record.tokens.length, {
      acceptedAtMs,
      deadlineAtMs: clock.nowMs() + remainingMs,
      suspensionsCount: record.suspensionsCount,
    });
  }

  private onRefused(answer: messages.DispatchAnswer): boolean {
    const error = errors.createFailure(answer.reason, {
      code: stepError.ErrorCode.DeadlineUnreachable,
      step: "generation.place",
      deliveredTokens: this.generation.record.heldCount,
      retryAfterMs: answer.estimatedWaitMs,
    });
    this.generation.giveUp(error);
    return false;
  }

  private onUnavailable(target: placements.Target, answer: messages.DispatchAnswer): boolean {
    this.services.avoidance.avoidEngine(target.engine.name);
    this.generation.trace("run.unavailable", answer.reason, target.engine.name);
    this.generation.record.run = null;
    return false;
  }

  private onSuperseded(answer: messages.DispatchAnswer): boolean {
    const { record } = this.generation;
    const isOwnRun = answer.ownerVm === this.services.context.link.selfName;
    if (isOwnRun) record.attempt = Math.max(record.attempt, answer.attempt);
    else this.generation.stepDown(answer.ownerVm, answer.attempt);
    return false;
  }

  private onHomeUnreachable(target: placements.Target, error: stepError.StepError): void {
    this.services.avoidance.avoidVm(target.homeVm);
    this.services.context.metrics.increment("generations.home_takeovers");
    const reason = `${target.homeVm}: ${error.message}`;
    this.generation.trace("home.unreachable", reason, target.engine.name);
  }
}
