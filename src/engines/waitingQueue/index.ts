import * as constants from "../constants.js";
import * as lanes from "../_lib/waitingLane/index.js";
import * as neverthrow from "neverthrow";
import * as priorities from "../priorityOf/index.js";
import * as selections from "../selectEngine/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";

/** Bounds of a waiting queue. */
export interface WaitingQueueOptions {
  readonly maxWaitingCount: number;
  /** Expected output of a request in tokens; what its account is charged for fairness. */
  readonly expectedTokensOf: (need: types.GenerationNeed) => number;
}

/**
 * Work that waits for room on any engine: a class before the next one, with ageing across classes;
 * inside a class the account that was served least goes first, and its earliest deadline first.
 */
export class WaitingQueue {
  private readonly lanes = new Map<string, lanes.WaitingLane>();
  private readonly laneOf = new Map<string, lanes.WaitingLane>();

  constructor(private readonly options: WaitingQueueOptions) {}

  get count(): number {
    return this.laneOf.size;
  }

  has(requestId: string): boolean {
    return this.laneOf.has(requestId);
  }

  /**
   * Adds a request; one that waits already stays where it is.
   *
   * @returns an error with execution `not-run` when the queue is full
   */
  push(need: types.GenerationNeed): neverthrow.Result<void, stepError.StepError> {
    if (this.laneOf.has(need.requestId)) return neverthrow.ok();
    const isNew = need.producedTokens === 0;
    if (isNew && this.count >= this.options.maxWaitingCount) {
      return neverthrow.err(queueFullError(this.count));
    }
    const lane = this.laneFor(need);
    lane.push(need);
    this.laneOf.set(need.requestId, lane);
    return neverthrow.ok();
  }

  /**
   * Takes the request that should get the room of an engine next.
   *
   * @returns the request, no longer waiting; null when nothing that waits fits
   */
  nextFor(room: types.EngineRoom, nowMs: number): types.GenerationNeed | null {
    const candidates = [...this.lanes.values()]
      .filter((lane) => lane.count > 0 && selections.hasModelLoaded(room.loadedModels, lane.target))
      .sort((left, right) => left.rank(nowMs) - right.rank(nowMs));
    for (const lane of candidates) {
      const need = lane.next(room);
      if (need === null) continue;
      this.remove(need.requestId);
      lane.charge(need, this.options.expectedTokensOf(need));
      return need;
    }
    return null;
  }

  remove(requestId: string): types.GenerationNeed | null {
    const lane = this.laneOf.get(requestId);
    if (lane === undefined) return null;
    this.laneOf.delete(requestId);
    return lane.remove(requestId);
  }

  /** Removes and returns what can no longer meet its deadline; work that has started stays. */
  expire(nowMs: number): readonly types.GenerationNeed[] {
    const expired = [...this.lanes.values()].flatMap((lane) => lane.expired(nowMs));
    for (const need of expired) this.remove(need.requestId);
    return expired;
  }

  /** The most urgent waiting request of each model, for the homes of engines that serve it. */
  summary(nowMs: number): readonly types.WaitingSummary[] {
    const urgent = new Map<string, types.WaitingSummary>();
    for (const lane of this.lanes.values()) {
      const first = lane.first();
      if (first === null) continue;
      const { model, version, adapter } = lane.target;
      const key = JSON.stringify([model, version, adapter]);
      const known = urgent.get(key);
      const waitingCount = lane.count + (known?.waitingCount ?? 0);
      const rank = lane.rank(nowMs);
      const isMoreUrgent = known === undefined || rank < known.rank;
      const item = isMoreUrgent ? describe(first, rank) : known;
      urgent.set(key, { ...item, waitingCount });
    }
    return [...urgent.values()];
  }

  private laneFor(need: types.GenerationNeed): lanes.WaitingLane {
    const key = JSON.stringify([need.model, need.version, need.adapter, need.class]);
    const known = this.lanes.get(key);
    if (known !== undefined) return known;
    const created = new lanes.WaitingLane(need, priorities.priorityOf(need.class));
    this.lanes.set(key, created);
    return created;
  }
}

function describe(need: types.GenerationNeed, rank: number): types.WaitingSummary {
  return {
    model: need.model,
    version: need.version,
    adapter: need.adapter,
    requestId: need.requestId,
    class: need.class,
    rank,
    deadlineAtMs: need.deadlineAtMs,
    waitingCount: 1,
  };
}

function queueFullError(count: number): stepError.StepError {
  return new stepError.StepError(`${count} requests are waiting already`, {
    code: stepError.ErrorCode.Overloaded,
    step: "queue.push",
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs: constants.AGEING_MS,
  });
}
