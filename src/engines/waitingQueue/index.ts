import * as constants from "../constants.js";
import * as lanes from "../_lib/waitingLane/index.js";
import * as neverthrow from "neverthrow";
import * as priorities from "../priorityOf/index.js";
import * as selections from "../selectEngine/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";

/** Settings of a waiting queue. */
export interface WaitingQueueOptions {
  /** Count of waiting requests from which new ones are refused. */
  readonly maxWaitingCount: number;
  /** Expected output of a request in tokens, charged to its account for fairness. */
  readonly expectedTokensOf: (need: types.GenerationNeed) => number;
}

/**
 * Queue of requests that wait for engine capacity, ordered by class with ageing. Within a class and
 * model the account with the fewest served tokens is first, and within an account started requests
 * precede others, each by deadline.
 */
export class WaitingQueue {
  private readonly lanes = new Map<string, lanes.WaitingLane>();
  private readonly laneByRequestId = new Map<string, lanes.WaitingLane>();

  constructor(private readonly options: WaitingQueueOptions) {}

  /** Count of waiting requests. */
  get count(): number {
    return this.laneByRequestId.size;
  }

  /** Whether a request is waiting. */
  has(requestId: string): boolean {
    return this.laneByRequestId.has(requestId);
  }

  /**
   * Adds a request; one that is waiting already keeps its position. Started requests are never
   * refused.
   *
   * @returns an error of code `overloaded` with execution `not-run` if the queue is full
   */
  push(need: types.GenerationNeed): neverthrow.Result<void, stepError.StepError> {
    if (this.laneByRequestId.has(need.requestId)) return neverthrow.ok();
    const isNew = need.producedTokens === 0;
    if (isNew && this.count >= this.options.maxWaitingCount) {
      return neverthrow.err(createQueueFullError(this.count));
    }
    const lane = this.getOrCreateLane(need);
    lane.push(need);
    this.laneByRequestId.set(need.requestId, lane);
    return neverthrow.ok();
  }

  /**
   * Removes and returns the request to which an engine's capacity is given next, and charges it to
   * its account. Checks a limited count of requests per class and model.
   *
   * @returns null if no checked request fits
   */
  nextFor(capacity: types.EngineCapacity, nowMs: number): types.GenerationNeed | null {
    const candidates = [...this.lanes.values()]
      .filter(
        (lane) => lane.count > 0 && selections.hasModelLoaded(capacity.loadedModels, lane.target),
      )
      .sort((left, right) => left.rank(nowMs) - right.rank(nowMs));
    for (const lane of candidates) {
      const need = lane.next(capacity);
      if (need === null) continue;
      this.remove(need.requestId);
      lane.charge(need, this.options.expectedTokensOf(need));
      return need;
    }
    return null;
  }

  /** Removes a request and returns it; null if it is not waiting. */
  remove(requestId: string): types.GenerationNeed | null {
    const lane = this.laneByRequestId.get(requestId);
    if (lane === undefined) return null;
    this.laneByRequestId.delete(requestId);
    return lane.remove(requestId);
  }

  /** Removes and returns requests whose deadline has passed; started requests stay. */
  expire(nowMs: number): readonly types.GenerationNeed[] {
    const expired = [...this.lanes.values()].flatMap((lane) => lane.listExpired(nowMs));
    for (const need of expired) this.remove(need.requestId);
    return expired;
  }

  /**
   * Summarises the most urgent waiting request of each model, for the homes of engines that serve
   * it.
   */
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

  private getOrCreateLane(need: types.GenerationNeed): lanes.WaitingLane {
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

function createQueueFullError(count: number): stepError.StepError {
  return new stepError.StepError(`the queue is full: ${count} requests are waiting`, {
    code: stepError.ErrorCode.Overloaded,
    step: "queue.push",
    execution: stepError.ExecutionState.NotRun,
    retryAfterMs: constants.AGEING_MS,
  });
}
