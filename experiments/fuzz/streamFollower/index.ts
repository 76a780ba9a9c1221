import * as fc from "fast-check";

import type * as hub from "../../../standins/peers/hub/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as followers from "../../../standins/replication/index.js";
import * as platform from "../../../src/controlPlane/types.js";

/** Kinds of steps of a plan. */
export enum PlanStep {
  Append = "append",
  LogDown = "log-down",
  LogSlow = "log-slow",
  LogLinkCut = "log-link-cut",
  LogTruncated = "log-truncated",
  VmPaused = "vm-paused",
  VmStarted = "vm-started",
  VmStopped = "vm-stopped",
  PeersPartitioned = "peers-parted",
  PeersSilent = "peers-silent",
  /** A peer sends old records again, out of order. */
  Replayed = "replayed",
  /** An outdated snapshot is appended to the log, as by a VM that was paused while it wrote it. */
  StaleSnapshot = "stale-snapshot",
}

/** One step of a plan; each kind uses only some of the fields. */
export interface PlannedStep {
  readonly step: PlanStep;
  readonly atMs: number;
  readonly durationMs: number;
  readonly vmIndex: number;
  readonly count: number;
}

const PLAN_DURATION_MS = 40_000;
const RECOVERY_MS = 60_000;
const SLOW_LOG_LATENCY_MS = 4_000;
const VMS_COUNT = 5;
const FOLLOWER_OPTIONS = { areSnapshotsWritten: true, snapshotEveryRecords: 20 };
const STREAM = platform.LogStream.Catalogue;

/** Generates random plans, which shrink to few steps. */
export const planArbitrary: fc.Arbitrary<PlannedStep[]> = fc.array(
  fc.record({
    step: fc.constantFrom(PlanStep.Append, PlanStep.Append, ...Object.values(PlanStep)),
    atMs: fc.integer({ min: 0, max: PLAN_DURATION_MS }),
    durationMs: fc.integer({ min: 50, max: 20_000 }),
    vmIndex: fc.integer({ min: 0, max: VMS_COUNT - 1 }),
    count: fc.integer({ min: 1, max: 40 }),
  }),
  { maxLength: 25 },
);

/** Executes random plans from a seed; returns a report of the smallest failing plan, or null. */
export async function fuzzStreamFollower(runsCount: number, seed: number): Promise<string | null> {
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const violations = await new PlanRun(plan).execute();
    if (violations.length > 0) throw new Error(violations.join("; "));
  });
  const details = await fc.check(property, { numRuns: runsCount, seed });
  return details.failed ? (fc.defaultReportMessage(details) ?? "failed") : null;
}

type UndoStep = () => void;

/** The execution of one plan on a virtual fleet. */
class PlanRun {
  readonly fleet = new followers.FollowerFleet();
  readonly replayPeer: hub.FakePeerNetwork;
  readonly history: platform.LogRecord[] = [];
  private readonly hashByOffset = new Map<number, string>();
  private readonly violations: string[] = [];
  private startedCount = 0;

  constructor(private readonly plan: readonly PlannedStep[]) {
    this.replayPeer = this.fleet.hub.join("ghost");
  }

  async execute(): Promise<string[]> {
    for (let index = 0; index < VMS_COUNT; index += 1) this.startVm();
    const { clock } = this.fleet;
    for (const planned of this.plan) clock.schedule(planned.atMs, () => this.executeStep(planned));
    await clock.runForMs(PLAN_DURATION_MS + RECOVERY_MS);
    this.checkConvergence();
    return this.violations;
  }

  startVm(): void {
    const dataCentre = this.startedCount % 2 === 0 ? "dc-a" : "dc-b";
    const vm = this.fleet.start(`vm-${this.startedCount}`, dataCentre, FOLLOWER_OPTIONS);
    this.startedCount += 1;
    let lastOffset = -1;
    vm.follower.onApplied((state, records) => {
      if (state.appliedOffset < lastOffset)
        this.violations.push(`${vm.name} applied offset went backwards`);
      lastOffset = state.appliedOffset;
      const known = this.hashByOffset.get(state.appliedOffset);
      if (known !== undefined && known !== state.hash)
        this.violations.push(`${vm.name} has a different state at the same offset`);
      this.hashByOffset.set(state.appliedOffset, state.hash);
      this.history.push(...records);
    });
  }

  vmAt(index: number): followers.FollowerVm | undefined {
    const { vms } = this.fleet;
    return vms[index % Math.max(1, vms.length)];
  }

  private executeStep(planned: PlannedStep): void {
    const undo = STEPS[planned.step](this, planned);
    this.fleet.clock.schedule(planned.durationMs, undo);
  }

  private checkConvergence(): void {
    const offsets = this.fleet.vms.map((vm) => vm.follower.appliedOffset);
    const hashes = new Set(this.fleet.vms.map((vm) => vm.follower.current.hash));
    const isBehind = this.fleet.vms.some((vm) => !vm.follower.isFollowing);
    if (isBehind || hashes.size > 1)
      this.violations.push(`followers did not converge; applied offsets: ${offsets.join(", ")}`);
  }
}

const STEPS: Readonly<Record<PlanStep, (run: PlanRun, planned: PlannedStep) => UndoStep>> = {
  [PlanStep.Append]: (run, { count, atMs }) => {
    const payloads = Array.from({ length: count }, (_, index) => ({ atMs, index }));
    void run.fleet.log.append(STREAM, payloads);
    return undoNothing;
  },
  [PlanStep.LogDown]: (run) => {
    run.fleet.log.inject(logModel.LogFault.Down);
    return () => run.fleet.log.heal(logModel.LogFault.Down);
  },
  [PlanStep.LogSlow]: (run) => {
    run.fleet.log.extraLatencyMs = SLOW_LOG_LATENCY_MS;
    return () => (run.fleet.log.extraLatencyMs = 0);
  },
  [PlanStep.LogLinkCut]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm === undefined) return undoNothing;
    vm.log.isPartitioned = true;
    return () => (vm.log.isPartitioned = false);
  },
  [PlanStep.LogTruncated]: (run) => {
    const offsets = run.fleet.vms.map((vm) => vm.follower.status().snapshotOffset);
    run.fleet.truncateBefore(Math.max(-1, ...offsets) + 1);
    return undoNothing;
  },
  [PlanStep.VmPaused]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm === undefined) return undoNothing;
    vm.gate.pause();
    const resumeDelivery = run.fleet.hub.pause(vm.name);
    return () => {
      resumeDelivery();
      vm.gate.resume();
    };
  },
  [PlanStep.VmStarted]: (run) => {
    run.startVm();
    return undoNothing;
  },
  [PlanStep.VmStopped]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm !== undefined && run.fleet.vms.length > 2) run.fleet.kill(vm);
    return undoNothing;
  },
  [PlanStep.PeersPartitioned]: (run, { vmIndex }) => partitionVm(run, vmIndex, "cut"),
  [PlanStep.PeersSilent]: (run, { vmIndex }) => partitionVm(run, vmIndex, "silence"),
  [PlanStep.Replayed]: (run, { vmIndex, count }) => {
    const vm = run.vmAt(vmIndex);
    const records = run.history.slice(-3 * count, -count).toReversed();
    const knownOffset = records[0]?.offset ?? -1;
    if (vm !== undefined) run.replayPeer.notify(vm.name, RECORDS_METHOD, { records, knownOffset });
    return undoNothing;
  },
  [PlanStep.StaleSnapshot]: (run) => {
    const isPart = ({ payload }: platform.LogRecord): boolean => hasType(payload, "snapshot");
    const parts = run.history.filter(isPart).slice(0, 2);
    const payloads = parts.map((record) => withStaleSnapshotId(record.payload));
    if (payloads.length > 0) void run.fleet.log.append(STREAM, payloads);
    return undoNothing;
  },
};

const RECORDS_METHOD = `replication.${STREAM}.records`;

function undoNothing(): void {
  // The effect of the step is permanent.
}

function partitionVm(run: PlanRun, index: number, how: "cut" | "silence"): UndoStep {
  const vm = run.vmAt(index);
  if (vm === undefined) return undoNothing;
  const others = run.fleet.vms.filter((other) => other !== vm);
  for (const other of others) run.fleet.hub[how](vm.name, other.name);
  return () => {
    for (const other of others) run.fleet.hub.heal(vm.name, other.name);
  };
}

function hasType(payload: unknown, type: string): boolean {
  return (
    typeof payload === "object" && payload !== null && "type" in payload && payload.type === type
  );
}

/** Returns a snapshot part with another snapshot id, as if another VM had written it. */
function withStaleSnapshotId(payload: unknown): unknown {
  return { ...(payload as object), snapshotId: "stale" };
}
