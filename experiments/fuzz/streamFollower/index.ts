import * as fc from "fast-check";

import type * as hub from "../../../standins/peers/hub/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as followers from "../../../standins/replication/index.js";
import * as platform from "../../../src/controlPlane/types.js";

/** What a plan does at a time. */
export enum PlanStep {
  Append = "append",
  LogDown = "log-down",
  LogSlow = "log-slow",
  LogLinkCut = "log-link-cut",
  LogTruncated = "log-truncated",
  VmPaused = "vm-paused",
  VmStarted = "vm-started",
  VmStopped = "vm-stopped",
  PeersParted = "peers-parted",
  PeersSilent = "peers-silent",
  /** Old records come again from a peer, out of order. */
  Replayed = "replayed",
  /** A snapshot that a paused VM packed long ago reaches the log. */
  StaleSnapshot = "stale-snapshot",
}

/** One planned step. */
export interface Planned {
  readonly step: PlanStep;
  readonly atMs: number;
  readonly durationMs: number;
  readonly vmIndex: number;
  readonly count: number;
}

const PLAN_MS = 40_000;
const HEALING_MS = 60_000;
const SLOW_LOG_MS = 4_000;
const VMS_COUNT = 5;
const OPTIONS = { areSnapshotsWritten: true, snapshotEveryRecords: 20 };
const STREAM = platform.LogStream.Catalogue;

/** Random plans; they shrink to few steps. */
export const planArbitrary: fc.Arbitrary<Planned[]> = fc.array(
  fc.record({
    step: fc.constantFrom(PlanStep.Append, PlanStep.Append, ...Object.values(PlanStep)),
    atMs: fc.integer({ min: 0, max: PLAN_MS }),
    durationMs: fc.integer({ min: 50, max: 20_000 }),
    vmIndex: fc.integer({ min: 0, max: VMS_COUNT - 1 }),
    count: fc.integer({ min: 1, max: 40 }),
  }),
  { maxLength: 25 },
);

/** Runs plans by a seed and reports the first that breaks a promise, in its smallest form. */
export async function fuzzStreamFollower(runsCount: number, seed: number): Promise<string | null> {
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const problems = await new PlanRun(plan).execute();
    if (problems.length > 0) throw new Error(problems.join("; "));
  });
  const details = await fc.check(property, { numRuns: runsCount, seed });
  return details.failed ? (fc.defaultReportMessage(details) ?? "failed") : null;
}

type Undo = () => void;

/** One plan on its way. */
class PlanRun {
  readonly fleet = new followers.FollowerFleet();
  readonly ghost: hub.FakePeerNetwork;
  readonly history: platform.LogRecord[] = [];
  private readonly hashByOffset = new Map<number, string>();
  private readonly problems: string[] = [];
  private startedCount = 0;

  constructor(private readonly plan: readonly Planned[]) {
    this.ghost = this.fleet.hub.join("ghost");
  }

  async execute(): Promise<string[]> {
    for (let index = 0; index < VMS_COUNT; index += 1) this.startVm();
    const { clock } = this.fleet;
    for (const planned of this.plan) clock.schedule(planned.atMs, () => this.begin(planned));
    await clock.runForMs(PLAN_MS + HEALING_MS);
    this.checkEnd();
    return this.problems;
  }

  startVm(): void {
    const dataCentre = this.startedCount % 2 === 0 ? "dc-a" : "dc-b";
    const vm = this.fleet.start(`vm-${this.startedCount}`, dataCentre, OPTIONS);
    this.startedCount += 1;
    let lastOffset = -1;
    vm.follower.onApplied((state, records) => {
      if (state.appliedOffset < lastOffset) this.problems.push(`${vm.name} went back`);
      lastOffset = state.appliedOffset;
      const known = this.hashByOffset.get(state.appliedOffset);
      if (known !== undefined && known !== state.hash) this.problems.push(`${vm.name} differs`);
      this.hashByOffset.set(state.appliedOffset, state.hash);
      this.history.push(...records);
    });
  }

  vmAt(index: number): followers.FollowerVm | undefined {
    const { vms } = this.fleet;
    return vms[index % Math.max(1, vms.length)];
  }

  private begin(planned: Planned): void {
    const undo = STEPS[planned.step](this, planned);
    this.fleet.clock.schedule(planned.durationMs, undo);
  }

  private checkEnd(): void {
    const offsets = this.fleet.vms.map((vm) => vm.follower.appliedOffset);
    const hashes = new Set(this.fleet.vms.map((vm) => vm.follower.current.hash));
    const isBehind = this.fleet.vms.some((vm) => !vm.follower.isFollowing);
    if (isBehind || hashes.size > 1) this.problems.push(`ends apart at ${offsets.join(", ")}`);
  }
}

const STEPS: Readonly<Record<PlanStep, (run: PlanRun, planned: Planned) => Undo>> = {
  [PlanStep.Append]: (run, { count, atMs }) => {
    const payloads = Array.from({ length: count }, (_, index) => ({ atMs, index }));
    void run.fleet.log.append(STREAM, payloads);
    return nothing;
  },
  [PlanStep.LogDown]: (run) => {
    run.fleet.log.inject(logModel.LogFault.Down);
    return () => run.fleet.log.heal(logModel.LogFault.Down);
  },
  [PlanStep.LogSlow]: (run) => {
    run.fleet.log.extraLatencyMs = SLOW_LOG_MS;
    return () => (run.fleet.log.extraLatencyMs = 0);
  },
  [PlanStep.LogLinkCut]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm === undefined) return nothing;
    vm.log.isCut = true;
    return () => (vm.log.isCut = false);
  },
  [PlanStep.LogTruncated]: (run) => {
    const offsets = run.fleet.vms.map((vm) => vm.follower.status().snapshotOffset);
    run.fleet.truncateBefore(Math.max(-1, ...offsets) + 1);
    return nothing;
  },
  [PlanStep.VmPaused]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm === undefined) return nothing;
    vm.gate.pause();
    const letGo = run.fleet.hub.pause(vm.name);
    return () => {
      letGo();
      vm.gate.resume();
    };
  },
  [PlanStep.VmStarted]: (run) => {
    run.startVm();
    return nothing;
  },
  [PlanStep.VmStopped]: (run, { vmIndex }) => {
    const vm = run.vmAt(vmIndex);
    if (vm !== undefined && run.fleet.vms.length > 2) run.fleet.kill(vm);
    return nothing;
  },
  [PlanStep.PeersParted]: (run, { vmIndex }) => partVm(run, vmIndex, "cut"),
  [PlanStep.PeersSilent]: (run, { vmIndex }) => partVm(run, vmIndex, "silence"),
  [PlanStep.Replayed]: (run, { vmIndex, count }) => {
    const vm = run.vmAt(vmIndex);
    const records = run.history.slice(-3 * count, -count).toReversed();
    const knownOffset = records[0]?.offset ?? -1;
    if (vm !== undefined) run.ghost.notify(vm.name, RECORDS_METHOD, { records, knownOffset });
    return nothing;
  },
  [PlanStep.StaleSnapshot]: (run) => {
    const isPart = ({ payload }: platform.LogRecord): boolean => hasType(payload, "snapshot");
    const parts = run.history.filter(isPart).slice(0, 2);
    const payloads = parts.map((record) => renamed(record.payload));
    if (payloads.length > 0) void run.fleet.log.append(STREAM, payloads);
    return nothing;
  },
};

const RECORDS_METHOD = `replication.${STREAM}.records`;

function nothing(): void {
  // Steps without an end have nothing to undo.
}

function partVm(run: PlanRun, index: number, how: "cut" | "silence"): Undo {
  const vm = run.vmAt(index);
  if (vm === undefined) return nothing;
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

/** An old snapshot's part as another VM would have packed it. */
function renamed(payload: unknown): unknown {
  return { ...(payload as object), snapshotId: "stale" };
}
