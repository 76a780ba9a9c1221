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

/** Description of a replica, for operators. */
export interface CatalogueDescription {
  readonly follower: replication.FollowerStatus;
  readonly isReady: boolean;
  readonly itemsCount: number;
  /** The most recent skipped records, with their reasons. */
  readonly skipped: readonly types.ChangeOutcome[];
}

/** Options of a proposal. */
export interface ProposeOptions {
  /** Timeout of the whole proposal. */
  readonly timeoutMs?: number;
}

/** This VM's replica of the catalogue, updated from the log. */
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
        apply: (state, record) => this.applyAndReport(state, record),
        appliedOffsetOf: (state) => state.appliedOffset,
        encodeParts: snapshotParts.encodeParts,
        decodeParts: snapshotParts.decodeParts,
      },
      { clock, logger, metrics, logService, peerNetwork, fleetView, appendBudget },
      options,
    );
  }

  /** Starts to follow the log; may be called only once. */
  start(): void {
    this.follower.start();
  }

  current(): types.CatalogueState {
    return this.follower.current;
  }

  onChange(listener: (state: types.CatalogueState) => void): Disposable {
    return this.follower.onApplied((state) => listener(state));
  }

  /** Whether this VM has ever reached the highest offset that it could learn of. */
  get isReady(): boolean {
    return this.follower.isReady;
  }

  /** Offset of the last record applied here; -1 before the first. */
  get appliedOffset(): number {
    return this.follower.appliedOffset;
  }

  /**
   * Proposes a change and waits until the log's order has decided it. The same change can be
   * proposed again, here or at another VM: a change id takes effect only once.
   *
   * @param change - the change with the revision on which it is based
   * @returns the outcome, or an error; with execution `unknown` the change may still take effect
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

  /** Requests the applied offset of each VM of the fleet, with bounded concurrency. */
  async status(): Promise<types.VmCatalogueStatus[]> {
    const { self } = this.fleetView;
    return replication.mapConcurrently(this.fleetView.members(), async ({ name }) => {
      if (name === self.name) return { vm: name, ...this.describeSelf() };
      const status = await this.follower.requestStatus(name);
      return { vm: name, appliedOffset: null, isReady: false, ...status };
    });
  }

  /**
   * Reads the changes to an item that the log retains, accepted or not, the oldest first.
   *
   * @param maxRecords - number of records to scan, from the first retained one on
   */
  async history(
    kind: types.ItemKind,
    name: string,
    maxRecords = constants.DEFAULT_HISTORY_SCAN_RECORDS_COUNT,
  ): Promise<neverthrow.Result<types.ItemHistoryEntry[], stepError.StepError>> {
    return proposal.readHistory(this.logService, { kind, name, maxRecords });
  }

  /** Describes the replica for operators. */
  describe(): CatalogueDescription {
    return {
      follower: this.follower.status(),
      isReady: this.isReady,
      itemsCount: this.follower.current.items.size,
      skipped: [...this.skipped],
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.follower[Symbol.asyncDispose]();
  }

  private describeSelf(): { appliedOffset: number; isReady: boolean } {
    return { appliedOffset: this.appliedOffset, isReady: this.isReady };
  }

  private applyAndReport(
    state: indexedState.IndexedState,
    record: platform.LogRecord,
  ): indexedState.IndexedState {
    const applied = applyRecord.applyRecord(state, record);
    const { outcome } = applied;
    this.metrics.increment("catalogue.records", 1, { outcome: outcome.kind });
    if (outcome.kind === types.ChangeOutcomeKind.Invalid) {
      this.skipped.push(outcome);
      if (this.skipped.length > constants.MAX_SKIPPED_RECORDS_COUNT) this.skipped.shift();
      this.logger.warn(
        { offset: record.offset, reason: outcome.reason },
        "invalid catalogue record skipped",
      );
    }
    return applied.state;
  }
}
