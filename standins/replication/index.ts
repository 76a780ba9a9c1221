import * as crypto from "node:crypto";

import * as logger from "../../src/_lib/logger/index.js";
import * as virtualClock from "../../src/_lib/virtualClock/index.js";
import * as fleetTypes from "../../src/fleet/types.js";
import * as appendBudgets from "../../src/controlPlane/appendBudget/index.js";
import * as platform from "../../src/controlPlane/types.js";
import * as replication from "../../src/replication/index.js";
import * as fleetModel from "../fleet/model/index.js";
import * as logLink from "../log/link/index.js";
import * as logModel from "../log/model/index.js";
import * as hub from "../peers/hub/index.js";
import * as counters from "../telemetry/counters/index.js";
import * as gate from "../vmGate/index.js";

/** A replicated state whose hash depends on every applied record and on their order. */
export interface ChainState {
  readonly appliedOffset: number;
  readonly hash: string;
}

/** One VM of a FollowerFleet. */
export interface FollowerVm {
  readonly name: string;
  readonly follower: replication.StreamFollower<ChainState>;
  readonly log: logLink.LogLink;
  readonly gate: gate.Gate;
  /** Applied offsets in the order in which they were reported; tests check that they never decrease. */
  readonly seenOffsets: number[];
}

const LOG_OPTIONS = { ...logModel.DEFAULT_LOG_OPTIONS, retentionMs: 10 * 86_400_000 };
const STREAM = platform.LogStream.Catalogue;

const CHAIN_RULES: replication.StreamRules<ChainState> = {
  stream: STREAM,
  initialState: { appliedOffset: -1, hash: "" },
  apply: (state, record) => ({
    appliedOffset: record.offset,
    hash: hashOf(`${state.hash}|${JSON.stringify(record.payload)}`),
  }),
  appliedOffsetOf: (state) => state.appliedOffset,
  encodeParts: (state) => [{ hash: state.hash.slice(0, 8) }, { hash: state.hash.slice(8) }],
  decodeParts: (appliedOffset, parts) => ({
    appliedOffset,
    hash: parts.map((part) => (part as { hash: string }).hash).join(""),
  }),
};

/** Several VMs that follow one stream of a log, on a virtual clock. */
export class FollowerFleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly log = new logModel.LogModel(this.clock, LOG_OPTIONS);
  readonly hub = new hub.PeerHub(this.clock);
  readonly fleet = new fleetModel.FleetModel();
  readonly counters = new counters.CounterModel();
  readonly vms: FollowerVm[] = [];
  private recordsCount = 0;
  private readonly downLog = new logModel.LogModel(this.clock, LOG_OPTIONS);

  constructor() {
    this.downLog.inject(logModel.LogFault.Down);
  }

  /** Starts a VM; with `isLogPartitioned` it cannot reach the log. */
  start(
    name: string,
    dataCentre = "dc-a",
    options: Partial<replication.FollowerOptions> = {},
    isLogPartitioned = false,
  ): FollowerVm {
    this.fleet.add(name, dataCentre);
    const vmGate = new gate.Gate();
    const clock = new gate.GatedClock(this.clock, vmGate);
    const log = new logLink.LogLink(this.log, this.downLog, vmGate, this.clock);
    log.isPartitioned = isLogPartitioned;
    const follower = new replication.StreamFollower(
      CHAIN_RULES,
      {
        clock,
        logger: logger.NOOP_LOGGER,
        metrics: this.counters,
        logService: log,
        peerNetwork: this.hub.join(name),
        fleetView: this.fleet.viewOf(name),
        appendBudget: new appendBudgets.AppendBudget(clock, () => Math.max(1, this.vms.length)),
      },
      { ...replication.DEFAULT_FOLLOWER_OPTIONS, areSnapshotsWritten: false, ...options },
    );
    const seenOffsets: number[] = [];
    follower.onApplied((state) => seenOffsets.push(state.appliedOffset));
    follower.start();
    const vm = { name, follower, log, gate: vmGate, seenOffsets };
    this.vms.push(vm);
    return vm;
  }

  /** Appends numbered records directly to the log. */
  async append(count: number): Promise<void> {
    const payloads = Array.from({ length: count }, () => ({ number: this.recordsCount++ }));
    await this.settle(this.log.append(STREAM, payloads));
  }

  /** Appends the given payloads directly to the log. */
  async appendPayloads(payloads: readonly unknown[]): Promise<void> {
    await this.settle(this.log.append(STREAM, payloads));
  }

  /** Drops all records below an offset from the log. */
  truncateBefore(offset: number): void {
    this.log.truncateBefore(STREAM, offset);
  }

  /** Runs the clock until the work is done. */
  async settle<T>(work: Promise<T>): Promise<T> {
    const progress = { isDone: false };
    void work.finally(() => (progress.isDone = true)).catch(() => undefined);
    while (!progress.isDone) await this.clock.runForMs(20);
    return work;
  }

  /** Kills a VM without a leave message; the others see it as dead. */
  kill(vm: FollowerVm): void {
    vm.gate.pause();
    this.hub.kill(vm.name);
    this.fleet.setState(vm.name, fleetTypes.MemberState.Dead);
    this.vms.splice(this.vms.indexOf(vm), 1);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.settle(Promise.all(this.vms.map((vm) => vm.follower[Symbol.asyncDispose]())));
  }
}

function hashOf(text: string): string {
  return crypto.createHash("sha256").update(text).digest("hex").slice(0, 16);
}
