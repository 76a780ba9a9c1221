import * as zod from "zod";

import * as disposableStore from "../../../_lib/disposableStore/index.js";
import * as fleetTypes from "../../../fleet/types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import type * as standbyHandlers from "../standbyHandlers/index.js";
import * as messages from "../messages/index.js";
import * as ownedGenerations from "../ownedGeneration/index.js";
import * as placements from "../placement/index.js";
import type * as records from "../generationRecord/index.js";
import * as replicators from "../replicator/index.js";
import type * as views from "../engineViews/index.js";
import * as waitingHandlers from "../waitingHandlers/index.js";

const replicaAcksSchema = zod.array(
  zod.object({ requestId: zod.string(), attempt: zod.number(), heldCount: zod.number() }),
);

/** Manages the generations that this VM owns, and handles messages of homes and standbys. */
export class OwnerHandlers implements AsyncDisposable {
  readonly avoidance: placements.Avoidance;
  readonly replicator: replicators.Replicator;
  readonly waiting: waitingHandlers.WaitingHandlers;
  private readonly owned = new Map<string, ownedGenerations.OwnedGeneration>();
  private readonly resources = new disposableStore.DisposableStore();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly views: views.EngineViews,
  ) {
    this.waiting = new waitingHandlers.WaitingHandlers(context, views);
    this.avoidance = new placements.Avoidance(context.clock);
    this.replicator = new replicators.Replicator(
      context,
      this.avoidance,
      (requestId, ownerVm, attempt) => this.owned.get(requestId)?.stepDown(ownerVm, attempt),
    );
  }

  /** Registers the message handlers and follows changes of the fleet. */
  start(): void {
    const { link } = this.context;
    link.handleRaw(messages.Method.Frames, (params, fromVm) => {
      for (const frame of frameBatchers.parseFrames(params)) {
        this.owned.get(frame.requestId)?.applyFrame(frame, fromVm);
      }
    });
    link.handle(messages.Method.RunEnded, messages.runEndedSchema, (ended) => {
      this.owned.get(ended.requestId)?.receiveRunEnded(ended);
    });
    link.handle(messages.Method.ReplicaAcks, replicaAcksSchema, (acks, fromVm) => {
      this.applyReplicaAcks(acks, fromVm);
    });
    link.handle(
      messages.Method.CapacityOffer,
      messages.capacityOfferSchema,
      ({ engineName, freeTokens }) => {
        const requestId = this.waiting.dequeueNextFor(engineName, freeTokens);
        if (requestId !== null) this.owned.get(requestId)?.onCapacityOffered(engineName);
      },
    );
    link.onDisconnect((vmName) => this.onVmLost(vmName, "the connection broke"));
    this.resources.add(this.context.fleet.onChange(() => this.onFleetChange()));
  }

  find(requestId: string): ownedGenerations.OwnedGeneration | null {
    return this.owned.get(requestId) ?? null;
  }

  findRecord(requestId: string): records.GenerationRecord | null {
    return this.owned.get(requestId)?.record ?? null;
  }

  list(): readonly ownedGenerations.OwnedGeneration[] {
    return [...this.owned.values()];
  }

  /** Becomes the owner of a generation and starts to place it. */
  takeOwnership(snapshot: messages.GenerationSnapshot): ownedGenerations.OwnedGeneration {
    const { context, views, avoidance, replicator, waiting } = this;
    const generation = new ownedGenerations.OwnedGeneration(
      { context, views, avoidance, replicator, waiting },
      snapshot,
    );
    this.owned.set(snapshot.request.requestId, generation);
    void generation.runUntilSettled();
    return generation;
  }

  /** Forgets a generation, and has its standby forget the replica. */
  forget(requestId: string): void {
    const generation = this.owned.get(requestId);
    if (generation === undefined) return;
    this.owned.delete(requestId);
    this.replicator.forget(generation.record);
  }

  /** Checks the timeouts of all owned generations, and forgets those whose retention has expired. */
  checkTimeouts(nowMs: number): void {
    for (const generation of [...this.owned.values()]) {
      generation.checkTimeouts();
      if (nowMs >= generation.record.expiresAtMs) this.forget(generation.record.requestId);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const generation of this.owned.values()) generation.stop();
    await this.resources[Symbol.asyncDispose]();
  }

  private applyReplicaAcks(acks: readonly standbyHandlers.ReplicaAck[], fromVm: string): void {
    for (const ack of acks) {
      const record = this.findRecord(ack.requestId);
      if (record !== null) this.replicator.onReplicaAck(record, ack, fromVm);
    }
  }

  private onFleetChange(): void {
    for (const { name, state } of this.context.fleet.members()) {
      if (state === fleetTypes.MemberState.Dead) this.onVmLost(name, "the VM is dead");
      if (state === fleetTypes.MemberState.Leaving) this.onStandbyLeaving(name);
    }
  }

  private onStandbyLeaving(vmName: string): void {
    for (const { record } of this.owned.values()) {
      if (record.standbyVm === vmName) this.replicator.onStandbyLost(record, "the VM leaves");
    }
  }

  private onVmLost(vmName: string, reason: string): void {
    for (const generation of this.owned.values()) {
      if (!generation.isCurrentOwner) continue;
      generation.onHomeLost(vmName, reason);
      if (generation.record.standbyVm === vmName) {
        this.replicator.onStandbyLost(generation.record, reason);
      }
    }
  }
}
