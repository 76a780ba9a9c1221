import "reflect-metadata";

import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as loggers from "../../_lib/logger/index.js";
import type * as random from "../../_lib/random/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as backends from "../../backends/types.js";
import * as catalogue from "../../catalogue/index.js";
import type * as fleet from "../../fleet/types.js";
import type * as peers from "../../peers/types.js";
import type * as appendBudgets from "../../controlPlane/appendBudget/index.js";
import * as platform from "../../controlPlane/types.js";
import * as replication from "../../replication/index.js";
import type * as telemetry from "../../telemetry/types.js";
import * as callErrors from "../_lib/callErrors/index.js";
import * as groupAppender from "../_lib/groupAppender/index.js";
import * as idempotentCaller from "../_lib/idempotentCaller/index.js";
import * as keyLedger from "../_lib/keyLedger/index.js";
import * as onceOnlyCaller from "../_lib/onceOnlyCaller/index.js";
import * as serverPool from "../_lib/serverPool/index.js";
import * as snapshotParts from "../_lib/snapshotParts/index.js";
import * as withholdPromises from "../_lib/withholdPromise/index.js";
import * as applyCallRecord from "../applyCallRecord/index.js";
import * as constants from "../constants.js";
import * as createCallsState from "../createCallsState/index.js";
import * as types from "../types.js";

/** Serves calls to plain services: retries idempotent ones, runs once-only ones at most once. */
@tsyringe.injectable()
export class Calls implements types.CallService, AsyncDisposable {
  private readonly store = new disposableStore.DisposableStore();
  private readonly follower: replication.StreamFollower<types.CallsState>;
  private readonly pool: serverPool.ServerPool;
  private readonly ledger: keyLedger.KeyLedger;
  private readonly idempotent: idempotentCaller.IdempotentCaller;
  private readonly onceOnly: onceOnlyCaller.OnceOnlyCaller;

  constructor(
    @tsyringe.inject(tokens.TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(tokens.TOKENS.random) randomSource: random.RandomSource,
    @tsyringe.inject(tokens.TOKENS.logger) logger: loggers.Logger,
    @tsyringe.inject(tokens.TOKENS.metrics) private readonly metrics: telemetry.Metrics,
    @tsyringe.inject(tokens.TOKENS.tracer) tracer: telemetry.Tracer,
    @tsyringe.inject(tokens.TOKENS.logService) logService: platform.LogService,
    @tsyringe.inject(tokens.TOKENS.peerNetwork) peerNetwork: peers.PeerNetwork,
    @tsyringe.inject(tokens.TOKENS.fleetView) fleetView: fleet.FleetView,
    @tsyringe.inject(tokens.TOKENS.catalogueView) catalogueView: catalogue.CatalogueView,
    @tsyringe.inject(tokens.TOKENS.serviceClients) serviceClients: backends.ServiceClients,
    @tsyringe.inject(tokens.TOKENS.appendBudget) appendBudget: appendBudgets.AppendBudget,
    @tsyringe.inject(tokens.TOKENS.replicationOptions) options: replication.FollowerOptions,
  ) {
    const commonDependencies = {
      clock,
      logger,
      metrics,
      tracer,
      fleetView,
      logService,
      appendBudget,
    };
    this.follower = this.store.add(
      new replication.StreamFollower(STREAM_RULES, { ...commonDependencies, peerNetwork }, options),
    );
    const { follower } = this;
    const appender = this.store.add(
      new groupAppender.GroupAppender(commonDependencies, STREAM_RULES.stream),
    );
    this.ledger = this.store.add(
      new keyLedger.KeyLedger({ ...commonDependencies, follower, appender }),
    );
    const { ledger } = this;
    const callerDependencies = {
      ...commonDependencies,
      random: randomSource,
      catalogueView,
      serviceClients,
    };
    this.pool = this.store.add(new serverPool.ServerPool(callerDependencies));
    const { pool } = this;
    this.idempotent = new idempotentCaller.IdempotentCaller({ ...callerDependencies, pool });
    this.onceOnly = new onceOnlyCaller.OnceOnlyCaller({ ...callerDependencies, pool, ledger });
  }

  /** Starts to follow the log stream of calls; must be called once. */
  start(): void {
    this.follower.start();
  }

  /** Whether this VM has caught up with the log stream of calls at least once. */
  get isReady(): boolean {
    return this.follower.isReady;
  }

  /** Serves a call; refuses it as not run if its deadline has passed. */
  async call(request: types.CallRequest): Promise<callErrors.CallResult> {
    const remainingMs = request.deadlineAtWallMs - this.clock.wallTimeMs();
    if (remainingMs <= 0) return callErrors.refuseAfterDeadline();
    const startedAtMs = this.clock.nowMs();
    const result = await this.route(request, startedAtMs + remainingMs);
    this.metrics.increment("calls.finished", 1, {
      entry: request.entry.name,
      execution: result.isOk() ? stepError.ExecutionState.Ran : result.error.execution,
    });
    return result;
  }

  /** Stops new calls to a server that announced its shutdown, until its catalogue item changes. */
  markLeaving(serverName: string): void {
    this.pool.markLeaving(serverName);
  }

  /** Describes the servers, keys and pending records, for operators. */
  describe(): types.CallsDescription {
    return {
      servers: this.pool.describe(),
      keysByPhase: countByPhase(this.follower.current),
      waitingCount: this.ledger.changeNotifier.waitingCount,
      unwrittenCount: this.ledger.pendingWritesCount,
      follower: this.follower.status(),
    };
  }

  /** Waits up to `FLUSH_TIMEOUT_MS` for pending records to reach the log, then stops. */
  async [Symbol.asyncDispose](): Promise<void> {
    await replication.waitAtMost(this.clock, constants.FLUSH_TIMEOUT_MS, this.ledger.flush());
    await this.store[Symbol.asyncDispose]();
  }

  private async route(
    request: types.CallRequest,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    if (request.entry.semantics === catalogue.CallSemantics.Idempotent)
      return this.idempotent.call(request, deadlineAtMs);
    const result = await this.callOnce(request, deadlineAtMs);
    return result.andThen(withholdPromises.withholdPromise);
  }

  private callOnce(
    request: types.CallRequest,
    deadlineAtMs: number,
  ): Promise<callErrors.CallResult> {
    const { entry, idempotencyKey } = request;
    if (idempotencyKey === null) {
      if (entry.keyRequired)
        return Promise.resolve(refuseKey(`entry ${entry.name} requires an idempotency key`));
      return this.onceOnly.callWithoutKey(request, deadlineAtMs);
    }
    const { length } = idempotencyKey;
    if (length === 0 || length > constants.MAX_KEY_CHARACTERS) {
      const message = `an idempotency key has 1 to ${constants.MAX_KEY_CHARACTERS} characters, not ${length}`;
      return Promise.resolve(refuseKey(message));
    }
    return this.onceOnly.callWithKey(request, idempotencyKey, deadlineAtMs);
  }
}

const STREAM_RULES: replication.StreamRules<types.CallsState> = {
  stream: platform.LogStream.Calls,
  initialState: createCallsState.createCallsState(),
  apply: applyCallRecord.applyCallRecord,
  appliedOffsetOf: (state) => state.appliedOffset,
  encodeParts: snapshotParts.encodeParts,
  decodeParts: snapshotParts.decodeParts,
};

function countByPhase(state: types.CallsState): Record<types.KeyPhase, number> {
  const counts = Object.fromEntries(
    Object.values(types.KeyPhase).map((phase) => [phase, 0]),
  ) as Record<types.KeyPhase, number>;
  for (const key of state.keys.values()) counts[key.phase] += 1;
  return counts;
}

function refuseKey(message: string): callErrors.CallResult {
  return callErrors.refuse(stepError.ErrorCode.InvalidRequest, "call.key", message);
}
