import * as zod from "zod";

import * as disposableStore from "../../../_lib/disposableStore/index.js";
import * as fleetTypes from "../../../fleet/types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import type * as keeperDesks from "../keeperDesk/index.js";
import * as messages from "../messages/index.js";
import * as owneds from "../owned/index.js";
import * as placements from "../placement/index.js";
import type * as records from "../record/index.js";
import * as replicators from "../replicator/index.js";
import type * as views from "../views/index.js";
import * as waitingDesks from "../waitingDesk/index.js";

const copiedSchema = zod.array(
  zod.object({ requestId: zod.string(), attempt: zod.number(), heldCount: zod.number() }),
);

/** The generations that this VM owns, and the messages of homes and keepers about them. */
export class OwnerDesk implements AsyncDisposable {
  readonly avoidance: placements.Avoidance;
  readonly replicator: replicators.Replicator;
  readonly waiting: waitingDesks.WaitingDesk;
  private readonly owned = new Map<string, owneds.OwnedGeneration>();
  private readonly resources = new disposableStore.DisposableStore();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly views: views.EngineViews,
  ) {
    this.waiting = new waitingDesks.WaitingDesk(context, views);
    this.avoidance = new placements.Avoidance(context.clock);
    this.replicator = new replicators.Replicator(
      context,
      this.avoidance,
      (requestId, ownerVm, attempt) => this.owned.get(requestId)?.stepDown(ownerVm, attempt),
    );
  }

  start(): void {
    const { link } = this.context;
    link.handleRaw(messages.Method.Frames, (params, fromVm) => {
      for (const frame of frameBatchers.parseFrames(params)) {
        this.owned.get(frame.requestId)?.takeFrame(frame, fromVm);
      }
    });
    link.handle(messages.Method.RunEnded, messages.runEndedSchema, (ended) => {
      this.owned.get(ended.requestId)?.takeRunEnded(ended);
    });
    link.handle(messages.Method.Copied, copiedSchema, (counts, fromVm) => {
      this.takeCopied(counts, fromVm);
    });
    link.handle(messages.Method.Room, messages.roomSchema, ({ engineName, freeTokens }) => {
      const requestId = this.waiting.nextFor(engineName, freeTokens);
      if (requestId !== null) this.owned.get(requestId)?.offerRoom(engineName);
    });
    link.onDisconnect((vmName) => this.onVmLost(vmName, "the connection broke"));
    this.resources.add(this.context.fleet.onChange(() => this.onFleetChange()));
  }

  find(requestId: string): owneds.OwnedGeneration | null {
    return this.owned.get(requestId) ?? null;
  }

  findRecord(requestId: string): records.GenerationRecord | null {
    return this.owned.get(requestId)?.record ?? null;
  }

  list(): readonly owneds.OwnedGeneration[] {
    return [...this.owned.values()];
  }

  /** Starts to answer for a generation. */
  own(snapshot: messages.GenerationSnapshot): owneds.OwnedGeneration {
    const { context, views, avoidance, replicator, waiting } = this;
    const generation = new owneds.OwnedGeneration(
      { context, views, avoidance, replicator, waiting },
      snapshot,
    );
    this.owned.set(snapshot.request.requestId, generation);
    void generation.drive();
    return generation;
  }

  forget(requestId: string): void {
    const generation = this.owned.get(requestId);
    if (generation === undefined) return;
    this.owned.delete(requestId);
    this.replicator.forget(generation.record);
  }

  watch(nowMs: number): void {
    for (const generation of [...this.owned.values()]) {
      generation.watch();
      if (nowMs >= generation.record.expiresAtMs) this.forget(generation.record.requestId);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const generation of this.owned.values()) generation.stop();
    await this.resources[Symbol.asyncDispose]();
  }

  private takeCopied(counts: readonly keeperDesks.CopiedCount[], fromVm: string): void {
    for (const count of counts) {
      const record = this.findRecord(count.requestId);
      if (record !== null) this.replicator.onCopied(record, count, fromVm);
    }
  }

  private onFleetChange(): void {
    for (const { name, state } of this.context.fleet.members()) {
      if (state === fleetTypes.MemberState.Dead) this.onVmLost(name, "the VM is dead");
      if (state === fleetTypes.MemberState.Leaving) this.onKeeperLeaving(name);
    }
  }

  private onKeeperLeaving(vmName: string): void {
    for (const { record } of this.owned.values()) {
      if (record.keeperVm === vmName) this.replicator.onKeeperLost(record, "the VM leaves");
    }
  }

  private onVmLost(vmName: string, reason: string): void {
    for (const generation of this.owned.values()) {
      if (!generation.isCurrentOwner) continue;
      generation.onHomeLost(vmName, reason);
      if (generation.record.keeperVm === vmName) {
        this.replicator.onKeeperLost(generation.record, reason);
      }
    }
  }
}
