import * as constants from "../../constants.js";
import * as selectKeepers from "../../selectKeeper/index.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import type * as keeperDesks from "../keeperDesk/index.js";
import * as messages from "../messages/index.js";
import type * as placements from "../placement/index.js";
import type * as records from "../record/index.js";

/** What the second holder of one generation is known to have. */
interface CopyState {
  unackedSinceMs: number | null;
  isKeeping: boolean;
}

type SupersededListener = (requestId: string, ownerVm: string, attempt: number) => void;

/** Sees to it that a second VM holds each owned generation before its tokens are delivered. */
export class Replicator {
  private readonly states = new Map<string, CopyState>();
  private readonly frames: frameBatchers.FrameBatcher;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly avoidance: placements.Avoidance,
    private readonly onSuperseded: SupersededListener,
  ) {
    this.frames = new frameBatchers.FrameBatcher(context.link, messages.Method.CopyFrames);
  }

  /**
   * Gives a second VM everything held of a generation.
   *
   * @returns whether a second VM holds it; false where this VM is alone
   */
  async keep(record: records.GenerationRecord): Promise<boolean> {
    const state = this.stateOf(record.requestId);
    if (state.isKeeping) return false;
    state.isKeeping = true;
    const isKept = await this.keepAnywhere(record, state);
    state.isKeeping = false;
    if (!isKept) this.serveAlone(record);
    return isKept;
  }

  /** A run's home holds the tokens too; where the home is this VM, the keeper has to. */
  onPlaced(record: records.GenerationRecord): void {
    if (!this.isHomeHere(record)) {
      record.markHeld(record.tokens.length);
      this.tellLocation(record);
      return;
    }
    if (record.keeperVm === null || record.tokens.length > 0) void this.keep(record);
  }

  /** Passes accepted tokens on to the second holder, unless the run's home is that holder. */
  onTokens(record: records.GenerationRecord, frame: types.TokenFrame): void {
    if (!this.isHomeHere(record)) {
      record.markHeld(record.tokens.length);
      return;
    }
    const state = this.stateOf(record.requestId);
    if (record.keeperVm === null) {
      if (!state.isKeeping) record.markHeld(record.tokens.length);
      return;
    }
    state.unackedSinceMs ??= this.context.clock.nowMs();
    if (!state.isKeeping) this.frames.push(record.keeperVm, frame);
  }

  onCopied(record: records.GenerationRecord, count: keeperDesks.CopiedCount, fromVm: string): void {
    if (fromVm !== record.keeperVm) return;
    if (count.attempt > record.attempt) return;
    const state = this.stateOf(record.requestId);
    const hasAdvanced = count.heldCount > record.heldCount;
    record.markHeld(count.heldCount);
    if (record.heldCount === record.tokens.length) {
      state.unackedSinceMs = null;
      return;
    }
    if (hasAdvanced) state.unackedSinceMs = this.context.clock.nowMs();
    else if (!state.isKeeping) this.copyFrom(record, record.heldCount);
  }

  /** Chooses another second holder where this one does not answer. */
  watch(record: records.GenerationRecord): void {
    const state = this.stateOf(record.requestId);
    if (state.isKeeping) return;
    if (record.keeperVm === null && this.selectKeeper(record) !== null) void this.keep(record);
    if (state.unackedSinceMs === null) return;
    const silentMs = this.context.clock.nowMs() - state.unackedSinceMs;
    if (silentMs < constants.COPY_ACK_TIMEOUT_MS) return;
    this.onKeeperLost(record, "no acknowledgement");
  }

  onKeeperLost(record: records.GenerationRecord, reason: string): void {
    if (record.keeperVm === null) return;
    this.trace(record, "keeper.lost", `${record.keeperVm}: ${reason}`);
    this.avoidance.avoidVm(record.keeperVm);
    void this.keep(record);
  }

  forget(record: records.GenerationRecord): void {
    this.states.delete(record.requestId);
    if (record.keeperVm === null) return;
    const { requestId, attempt } = record;
    this.context.link.notify(record.keeperVm, messages.Method.Forget, { requestId, attempt });
  }

  private async keepAnywhere(record: records.GenerationRecord, state: CopyState): Promise<boolean> {
    for (;;) {
      const keeperVm = this.selectKeeper(record);
      if (keeperVm === null) return false;
      const tokensCount = record.tokens.length;
      record.keeperVm = keeperVm;
      const answer = await this.context.link.call(
        keeperVm,
        messages.Method.Keep,
        record.snapshot(),
        messages.holdAnswerSchema,
      );
      if (answer.isErr()) {
        this.avoidance.avoidVm(keeperVm);
        continue;
      }
      if (!answer.value.isHeld) {
        this.onSuperseded(record.requestId, answer.value.ownerVm, answer.value.attempt);
        return true;
      }
      state.unackedSinceMs = null;
      if (!this.needsCopy(record)) return true;
      record.markHeld(tokensCount);
      if (record.tokens.length > tokensCount || record.isSettled) {
        this.copyFrom(record, tokensCount);
      }
      return true;
    }
  }

  private copyFrom(record: records.GenerationRecord, offset: number): void {
    const { requestId, attempt, keeperVm, finishReason } = record;
    if (keeperVm === null) return;
    const tokens = record.tokens.slice(offset);
    this.frames.push(keeperVm, { requestId, attempt, offset, tokens, finishReason });
    this.stateOf(requestId).unackedSinceMs ??= this.context.clock.nowMs();
  }

  private tellLocation(record: records.GenerationRecord): void {
    const { requestId, attempt, keeperVm, run } = record;
    if (keeperVm === null || run === null) return;
    this.context.link.notify(keeperVm, messages.Method.Located, { requestId, attempt, run });
  }

  private selectKeeper(record: records.GenerationRecord): string | null {
    const isAvoided = (vmName: string): boolean => this.avoidance.isVmAvoided(vmName);
    const members = this.context.fleet.members();
    const { requestId, keeperVm } = record;
    if (keeperVm !== null && !isAvoided(keeperVm)) return keeperVm;
    return selectKeepers.selectKeeper(requestId, this.context.fleet.self, members, isAvoided);
  }

  private serveAlone(record: records.GenerationRecord): void {
    record.keeperVm = null;
    const state = this.stateOf(record.requestId);
    state.unackedSinceMs = null;
    this.trace(record, "keeper.none", "no other VM can be reached; one holder only");
    this.context.metrics.increment("generations.single_holder");
    if (this.needsCopy(record)) record.markHeld(record.tokens.length);
  }

  /** Whether the second holder of the tokens is the keeper, and not the home of the run. */
  private needsCopy(record: records.GenerationRecord): boolean {
    return record.isSettled || this.isHomeHere(record);
  }

  private isHomeHere(record: records.GenerationRecord): boolean {
    return record.run === null || record.run.homeVm === this.context.link.selfName;
  }

  private stateOf(requestId: string): CopyState {
    const known = this.states.get(requestId);
    if (known !== undefined) return known;
    const state: CopyState = { unackedSinceMs: null, isKeeping: false };
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
