import * as constants from "../../constants.js";
import * as selectStandbys from "../../selectStandby/index.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import type * as standbyHandlers from "../standbyHandlers/index.js";
import * as messages from "../messages/index.js";
import type * as placements from "../placement/index.js";
import type * as records from "../generationRecord/index.js";

/** State of one generation's replication to its standby. */
interface ReplicaState {
  unackedSinceMs: number | null;
  isReplicating: boolean;
}

type SupersededListener = (requestId: string, ownerVm: string, attempt: number) => void;

/** Ensures that a second VM, if one is reachable, holds tokens before they are delivered. */
export class Replicator {
  private readonly states = new Map<string, ReplicaState>();
  private readonly frames: frameBatchers.FrameBatcher;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly avoidance: placements.Avoidance,
    private readonly onSuperseded: SupersededListener,
  ) {
    this.frames = new frameBatchers.FrameBatcher(context.link, messages.Method.ReplicateFrames);
  }

  /**
   * Sends the complete record of a generation to its standby.
   *
   * @returns false if no standby is reachable, or a replication is in progress already
   */
  async replicate(record: records.GenerationRecord): Promise<boolean> {
    const state = this.findOrCreateState(record.requestId);
    if (state.isReplicating) return false;
    state.isReplicating = true;
    const isReplicated = await this.replicateToAnyVm(record, state);
    state.isReplicating = false;
    if (!isReplicated) this.continueWithoutStandby(record);
    return isReplicated;
  }

  /** Replicates a placed generation if its home is local; a remote home is the second holder. */
  onPlaced(record: records.GenerationRecord): void {
    if (!this.isHomeLocal(record)) {
      record.markReplicated(record.tokens.length);
      this.sendRunLocation(record);
      return;
    }
    if (record.standbyVm === null || record.tokens.length > 0) void this.replicate(record);
  }

  /** Forwards accepted tokens to the standby, unless the run's home is the second holder. */
  onTokens(record: records.GenerationRecord, frame: types.TokenFrame): void {
    if (!this.isHomeLocal(record)) {
      record.markReplicated(record.tokens.length);
      return;
    }
    const state = this.findOrCreateState(record.requestId);
    if (record.standbyVm === null) {
      if (!state.isReplicating) record.markReplicated(record.tokens.length);
      return;
    }
    state.unackedSinceMs ??= this.context.clock.nowMs();
    if (!state.isReplicating) this.frames.push(record.standbyVm, frame);
  }

  /** Applies a standby's acknowledgement, and resends tokens if it did not advance. */
  onReplicaAck(
    record: records.GenerationRecord,
    ack: standbyHandlers.ReplicaAck,
    fromVm: string,
  ): void {
    if (fromVm !== record.standbyVm) return;
    if (ack.attempt > record.attempt) return;
    const state = this.findOrCreateState(record.requestId);
    const hasAdvanced = ack.heldCount > record.heldCount;
    record.markReplicated(ack.heldCount);
    if (record.heldCount === record.tokens.length) {
      state.unackedSinceMs = null;
      return;
    }
    if (hasAdvanced) state.unackedSinceMs = this.context.clock.nowMs();
    else if (!state.isReplicating) this.sendTokensFrom(record, record.heldCount);
  }

  /** Selects another standby if the current one does not acknowledge in time. */
  checkTimeouts(record: records.GenerationRecord): void {
    const state = this.findOrCreateState(record.requestId);
    if (state.isReplicating) return;
    if (record.standbyVm === null && this.selectStandby(record) !== null)
      void this.replicate(record);
    if (state.unackedSinceMs === null) return;
    const silentMs = this.context.clock.nowMs() - state.unackedSinceMs;
    if (silentMs < constants.REPLICA_ACK_TIMEOUT_MS) return;
    this.onStandbyLost(record, `no acknowledgement for ${Math.round(silentMs)} ms`);
  }

  /** Replicates to another standby after the current one was lost. */
  onStandbyLost(record: records.GenerationRecord, reason: string): void {
    if (record.standbyVm === null) return;
    this.trace(record, "keeper.lost", `${record.standbyVm}: ${reason}`);
    this.avoidance.avoidVm(record.standbyVm);
    void this.replicate(record);
  }

  /** Notifies the standby that it may delete its replica. */
  forget(record: records.GenerationRecord): void {
    this.states.delete(record.requestId);
    if (record.standbyVm === null) return;
    const { requestId, attempt } = record;
    this.context.link.notify(record.standbyVm, messages.Method.Forget, { requestId, attempt });
  }

  private async replicateToAnyVm(
    record: records.GenerationRecord,
    state: ReplicaState,
  ): Promise<boolean> {
    for (;;) {
      const standbyVm = this.selectStandby(record);
      if (standbyVm === null) return false;
      const tokensCount = record.tokens.length;
      record.standbyVm = standbyVm;
      const answer = await this.context.link.call(
        standbyVm,
        messages.Method.StoreReplica,
        record.snapshot(),
        messages.storeReplicaAnswerSchema,
      );
      if (answer.isErr()) {
        this.avoidance.avoidVm(standbyVm);
        continue;
      }
      if (!answer.value.isHeld) {
        this.onSuperseded(record.requestId, answer.value.ownerVm, answer.value.attempt);
        return true;
      }
      state.unackedSinceMs = null;
      if (!this.isStandbyRequired(record)) return true;
      record.markReplicated(tokensCount);
      if (record.tokens.length > tokensCount || record.isSettled) {
        this.sendTokensFrom(record, tokensCount);
      }
      return true;
    }
  }

  private sendTokensFrom(record: records.GenerationRecord, offset: number): void {
    const { requestId, attempt, standbyVm, finishReason } = record;
    if (standbyVm === null) return;
    const tokens = record.tokens.slice(offset);
    this.frames.push(standbyVm, { requestId, attempt, offset, tokens, finishReason });
    this.findOrCreateState(requestId).unackedSinceMs ??= this.context.clock.nowMs();
  }

  private sendRunLocation(record: records.GenerationRecord): void {
    const { requestId, attempt, standbyVm, run } = record;
    if (standbyVm === null || run === null) return;
    this.context.link.notify(standbyVm, messages.Method.Located, { requestId, attempt, run });
  }

  private selectStandby(record: records.GenerationRecord): string | null {
    const isAvoided = (vmName: string): boolean => this.avoidance.isVmAvoided(vmName);
    const members = this.context.fleet.members();
    const { requestId, standbyVm } = record;
    if (standbyVm !== null && !isAvoided(standbyVm)) return standbyVm;
    return selectStandbys.selectStandby(requestId, this.context.fleet.self, members, isAvoided);
  }

  private continueWithoutStandby(record: records.GenerationRecord): void {
    record.standbyVm = null;
    const state = this.findOrCreateState(record.requestId);
    state.unackedSinceMs = null;
    this.trace(record, "keeper.none", "no other VM is reachable; this VM is the only holder");
    this.context.metrics.increment("generations.single_holder");
    if (this.isStandbyRequired(record)) record.markReplicated(record.tokens.length);
  }

  /** Whether the standby, and not the run's home, is the second holder of the tokens. */
  private isStandbyRequired(record: records.GenerationRecord): boolean {
    return record.isSettled || this.isHomeLocal(record);
  }

  private isHomeLocal(record: records.GenerationRecord): boolean {
    return record.run === null || record.run.homeVm === this.context.link.selfName;
  }

  private findOrCreateState(requestId: string): ReplicaState {
    const known = this.states.get(requestId);
    if (known !== undefined) return known;
    const state: ReplicaState = { unackedSinceMs: null, isReplicating: false };
    this.states.set(requestId, state);
    return state;
  }

  private trace(record: records.GenerationRecord, step: string, reason: string): void {
    this.context.tracer.record(record.requestId, {
      step,
      offset: record.tokens.length,
      reason,
    });
  }
}
