import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import type * as loggers from "../../_lib/logger/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as fleet from "../../fleet/types.js";
import type * as peers from "../../peers/types.js";
import type * as appendBudgets from "../../controlPlane/appendBudget/index.js";
import * as platform from "../../controlPlane/types.js";
import * as replication from "../../replication/index.js";
import type * as telemetry from "../../telemetry/types.js";
import type * as indexedState from "../_lib/indexedState/index.js";
import * as proposal from "../_lib/proposal/index.js";
import * as snapshotParts from "../_lib/snapshotParts/index.js";
import * as applyRecord from "../applyRecord/index.js";
import * as constants from "../constants.js";
import * as createCatalogueState from "../createCatalogueState/index.js";
import * as types from "../types.js";

/** What a replica says about itself for operators. */
export interface CatalogueDescription {
  readonly follower: replication.FollowerStatus;
  readonly isReady: boolean;
  readonly itemsCount: number;
  /** The last records that were skipped, with the reason. */
  readonly skipped: readonly types.ChangeOutcome[];
}

/** Options of a proposal. */
export interface ProposeOptions {
  readonly timeoutMs?: number;
}

/** This VM's copy of the catalogue, kept in step with the log. */
@tsyringe.injectable()
export class CatalogueReplica implements types.CatalogueView, AsyncDisposable {
  private readonly follower: replication.StreamFollower<indexedState.IndexedState>;
  private readonly skipped: types.ChangeOutcome[] = [];

  constructor(
    @tsyringe.inject(tokens.TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(tokens.TOKENS.logger) private readonly logger: loggers.Logger,
    @tsyringe.inject(tokens.TOKENS.metrics) private readonly metrics: telemetry.Metrics,
    @tsyringe.inject(tokens.TOKENS.logService) private readonly logService: platform.LogService,
    @tsyringe.inject(tokens.TOKENS.peerNetwork) peerNetwork: peers.PeerNetwork,
    @tsyringe.inject(tokens.TOKENS.fleetView) private readonly fleetView: fleet.FleetView,
    @tsyringe.inject(tokens.TOKENS.appendBudget)
    private readonly appendBudget: appendBudgets.AppendBudget,
    @tsyringe.inject(tokens.TOKENS.replicationOptions) options: replication.FollowerOptions,
  ) {
    this.follower = new replication.StreamFollower(
      {
        stream: platform.LogStream.Catalogue,
        initialState: createCatalogueState.createCatalogueState(),
        apply: (state, record) => this.applyOne(state, record),
        appliedOffsetOf: (state) => state.appliedOffset,
        encodeParts: snapshotParts.encodeParts,
        decodeParts: snapshotParts.decodeParts,
      },
      { clock, logger, metrics, logService, peerNetwork, fleetView, appendBudget },
      options,
    );
  }

  /** Starts to follow the log; call once. */
  start(): void {
    this.follower.start();
  }

  current(): types.CatalogueState {
    return this.follower.current;
  }

  onChange(listener: (state: types.CatalogueState) => void): Disposable {
    return this.follower.onApplied((state) => listener(state));
  }

  /** Whether this VM once held the highest offset that it could learn of. */
  get ready(): boolean {
    return this.follower.isReady;
  }

  /** Offset of the last record in force here; -1 before the first. */
  get appliedOffset(): number {
    return this.follower.appliedOffset;
  }

  /**
   * Proposes a change and waits until the log's order has settled it. Proposing the same change
   * again, here or at another VM, is harmless: its change id has an effect only once.
   *
   * @param change - the change with the revision that it builds on
   * @returns whether it won; an error with execution `unknown` where that could not be learnt
   */
  async propose(
    change: types.ChangeRecord,
    options: ProposeOptions = {},
  ): Promise<neverthrow.Result<types.ProposalOutcome, stepError.StepError>> {
    const timeoutMs = options.timeoutMs ?? constants.DEFAULT_PROPOSE_TIMEOUT_MS;
    const { clock, logService, follower, appendBudget } = this;
    const deadlineAtMs = clock.nowMs() + timeoutMs;
    return proposal.proposeChange(
      { clock, logService, follower, appendBudget },
      change,
      deadlineAtMs,
    );
  }

  /** Which offset each VM of the fleet has in force; asked now, a bounded number at a time. */
  async status(): Promise<types.VmCatalogueStatus[]> {
    const { self } = this.fleetView;
    return replication.mapConcurrently(this.fleetView.members(), async ({ name }) => {
      if (name === self.name) return { vm: name, ...this.ownStatus() };
      const status = await this.follower.requestStatus(name);
      return { vm: name, appliedOffset: null, isReady: false, ...status };
    });
  }

  /**
   * The changes to an item that the log still holds, applied or not, the oldest first.
   *
   * @param maxRecords - records of the log to look through, from its retained beginning on
   */
  async history(
    kind: types.ItemKind,
    name: string,
    maxRecords = constants.MAX_HISTORY_RECORDS,
  ): Promise<neverthrow.Result<types.ItemHistoryEntry[], stepError.StepError>> {
    return proposal.readHistory(this.logService, { kind, name, maxRecords });
  }

  describe(): CatalogueDescription {
    return {
      follower: this.follower.status(),
      isReady: this.ready,
      itemsCount: this.follower.current.items.size,
      skipped: [...this.skipped],
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.follower[Symbol.asyncDispose]();
  }

  private ownStatus(): { appliedOffset: number; isReady: boolean } {
    return { appliedOffset: this.appliedOffset, isReady: this.ready };
  }

  private applyOne(
    state: indexedState.IndexedState,
    record: platform.LogRecord,
  ): indexedState.IndexedState {
    const applied = applyRecord.applyRecord(state, record);
    const { outcome } = applied;
    this.metrics.increment("catalogue.records", 1, { outcome: outcome.kind });
    if (outcome.kind === types.ChangeOutcomeKind.Invalid) {
      this.skipped.push(outcome);
      if (this.skipped.length > constants.MAX_SKIPPED_SHOWN) this.skipped.shift();
      this.logger.warn({ offset: record.offset, reason: outcome.reason }, "record skipped");
    }
    return applied.state;
  }
}
