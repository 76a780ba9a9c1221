import * as fc from "fast-check";

import * as callsFleet from "../../../standins/calls/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as serviceClients from "../../../standins/service/clients/index.js";
import type * as calls from "../../../src/calls/index.js";
import * as platform from "../../../src/controlPlane/types.js";
import * as replication from "../../../src/replication/index.js";

/** Kinds of faults that a plan injects; temporary ones are undone after their duration. */
export enum PlanFault {
  LogDown = "log-down",
  LogLostAnswer = "log-lost-answer",
  LogSlow = "log-slow",
  LogLinkCut = "log-link-cut",
  /** Answers to appends are lost, and the appends take effect late. */
  LogLate = "log-late",
  LogTruncated = "log-truncated",
  VmPaused = "vm-paused",
  VmKilled = "vm-killed",
  VmStarted = "vm-started",
  PeersPartitioned = "peers-parted",
  PeersSilent = "peers-silent",
  ServiceLostAnswer = "service-lost-answer",
  ServiceSilent = "service-silent",
  ServiceUnreachable = "service-unreachable",
  ServiceSlow = "service-slow",
}

/** A fault with its start and duration; the VM index is used only by faults of one VM. */
export interface PlannedFault {
  readonly fault: PlanFault;
  readonly atMs: number;
  readonly durationMs: number;
  readonly vmIndex: number;
}

/** A call of a caller at a planned time. */
export interface PlannedCall {
  readonly atMs: number;
  readonly vmIndex: number;
  readonly key: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly hasStatusPath: boolean;
}

/** One run: the calls and faults on a fleet of the given size. */
export interface Plan {
  readonly vmsCount: number;
  readonly calls: readonly PlannedCall[];
  readonly faults: readonly PlannedFault[];
}

const PLAN_DURATION_MS = 20_000;
const RECOVERY_MS = 40_000;
const SLOW_LOG_LATENCY_MS = 3_000;
const SLOW_SERVICE_LATENCY_MS = 6_000;
const RECORDS_PER_SNAPSHOT_COUNT = 12;
const MAX_VMS_COUNT = 5;

const atMs = fc.integer({ min: 0, max: PLAN_DURATION_MS });
const vmIndex = fc.integer({ min: 0, max: MAX_VMS_COUNT - 1 });

/** Generates random plans, which shrink to few calls and faults. */
export const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  vmsCount: fc.integer({ min: 2, max: MAX_VMS_COUNT }),
  calls: fc.array(
    fc.record({
      atMs,
      vmIndex,
      key: fc.constantFrom("k1", "k1", "k2", "k3"),
      body: fc.constantFrom("body", "body", "body", "body", "other"),
      deadlineMs: fc.constantFrom(300, 2_000, 8_000, 20_000),
      hasStatusPath: fc.boolean(),
    }),
    { minLength: 2, maxLength: 16 },
  ),
  faults: fc.array(
    fc.record({
      fault: fc.constantFrom(...Object.values(PlanFault)),
      atMs,
      durationMs: fc.integer({ min: 50, max: 10_000 }),
      vmIndex,
    }),
    { maxLength: 10 },
  ),
});

/** Executes a plan; returns one text per violated guarantee, empty if all held. */
export async function runPlan(plan: Plan): Promise<string[]> {
  const run = new PlanRun(plan);
  return run.execute();
}

/** Executes random plans from a seed; returns a report of the smallest failing plan, or null. */
export async function fuzzOnceOnly(runsCount: number, seed: number): Promise<string | null> {
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const violations = await runPlan(plan);
    if (violations.length > 0) throw new Error(violations.join("; "));
  });
  const details = await fc.check(property, { numRuns: runsCount, seed });
  return details.failed ? (fc.defaultReportMessage(details) ?? "failed") : null;
}

type UndoFault = () => void;
type InjectFault = (run: PlanRun, fault: PlannedFault) => UndoFault;

interface FinishedCall {
  readonly planned: PlannedCall;
  readonly result: Awaited<ReturnType<calls.Calls["call"]>>;
}

/** The execution of one plan on a virtual fleet. */
class PlanRun {
  readonly fleet = new callsFleet.CallsFleet();
  private readonly finished: FinishedCall[] = [];
  private startedCount = 0;
  private readonly pending = new Map<string, callsFleet.CallsVm>();

  constructor(private readonly plan: Plan) {}

  async execute(): Promise<string[]> {
    for (let index = 0; index < this.plan.vmsCount; index += 1) this.startVm();
    const { clock } = this.fleet;
    for (const planned of this.plan.calls)
      clock.schedule(planned.atMs, () => this.startCall(planned));
    for (const fault of this.plan.faults) clock.schedule(fault.atMs, () => this.injectFault(fault));
    await clock.runForMs(PLAN_DURATION_MS + RECOVERY_MS);
    return [
      ...this.checkExecutions(),
      ...this.checkAnswers(),
      ...this.checkPending(),
      ...this.checkReplicas(),
    ];
  }

  startVm(): void {
    const dataCentre = this.startedCount % 2 === 0 ? "dc-a" : "dc-b";
    const options = { snapshotEveryRecords: RECORDS_PER_SNAPSHOT_COUNT };
    this.fleet.start(`vm-${this.startedCount}`, dataCentre, options);
    this.startedCount += 1;
  }

  vmAt(index: number): callsFleet.CallsVm | undefined {
    const { vms } = this.fleet;
    return vms[index % Math.max(1, vms.length)];
  }

  private injectFault(fault: PlannedFault): void {
    const undo = INJECTIONS[fault.fault](this, fault);
    this.fleet.clock.schedule(fault.durationMs, undo);
  }

  private startCall(planned: PlannedCall): void {
    const vm = this.vmAt(planned.vmIndex);
    if (vm === undefined) return;
    const entry = planned.hasStatusPath ? { statusPath: "/status/{key}" } : {};
    const { key, body, deadlineMs } = planned;
    const request = this.fleet.request(key, body, entry, deadlineMs);
    this.pending.set(request.requestId, vm);
    void vm.calls.call(request).then((result) => {
      this.pending.delete(request.requestId);
      this.finished.push({ planned, result });
    });
  }

  private checkExecutions(): string[] {
    return [...this.fleet.service.executionsByKey]
      .filter(([, count]) => count > 1)
      .map(([key, count]) => `${key} was executed ${count} times`);
  }

  /** Checks that every call at a running VM has ended; all deadlines have passed by then. */
  private checkPending(): string[] {
    return [...this.pending]
      .filter(([, vm]) => this.fleet.vms.includes(vm))
      .map(([requestId, vm]) => `${requestId} at ${vm.name} did not end`);
  }

  private checkAnswers(): string[] {
    const violations: string[] = [];
    for (const { planned, result } of this.finished) {
      const summary = callsFleet.getOutcome(result);
      const isExecuted = this.fleet.service.executionsByKey.has(planned.key);
      if (result.isErr()) continue;
      if (summary !== `execution ${planned.key}`) violations.push(`${planned.key} got ${summary}`);
      if (!isExecuted) violations.push(`${planned.key} was answered without an execution`);
    }
    return [...violations, ...this.checkRefusals()];
  }

  /** Checks that a key was not executed if every call with it was answered as not run. */
  private checkRefusals(): string[] {
    const startedKeys = new Set(this.plan.calls.map((planned) => planned.key));
    return [...startedKeys].flatMap((key) => {
      const results = this.finished.filter(({ planned }) => planned.key === key);
      const isAllFinished =
        this.plan.calls.filter((call) => call.key === key).length === results.length;
      const isNeverRun = results.every(({ result }) => callsFleet.getOutcome(result) === "not-run");
      const isExecuted = this.fleet.service.executionsByKey.has(key);
      const isViolated = isAllFinished && isNeverRun && isExecuted;
      return isViolated ? [`${key} was executed, although every call was answered not-run`] : [];
    });
  }

  /** Checks that, after recovery, all VMs that follow the log have the same offset and keys. */
  private checkReplicas(): string[] {
    const states = this.fleet.vms
      .map((vm) => vm.calls.describe())
      .filter(({ follower }) => follower.phase === replication.FollowerPhase.Following)
      .map(({ keysByPhase, follower }) => JSON.stringify([follower.appliedOffset, keysByPhase]));
    const distinct = [...new Set(states)];
    return distinct.length > 1 ? [`replicas differ: ${distinct.join(" and ")}`] : [];
  }
}

const INJECTIONS: Readonly<Record<PlanFault, InjectFault>> = {
  [PlanFault.LogDown]: (run) => injectLogFault(run, logModel.LogFault.Down),
  [PlanFault.LogLostAnswer]: (run) => injectLogFault(run, logModel.LogFault.LostAnswer),
  [PlanFault.LogSlow]: (run) => {
    run.fleet.log.extraLatencyMs = SLOW_LOG_LATENCY_MS;
    return () => (run.fleet.log.extraLatencyMs = 0);
  },
  [PlanFault.LogLinkCut]: (run, { vmIndex: index }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.log.isPartitioned = true;
    return () => (vm.log.isPartitioned = false);
  },
  [PlanFault.LogLate]: (run, { vmIndex: index, durationMs }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.log.appendDelayMs = durationMs / 2;
    return () => (vm.log.appendDelayMs = 0);
  },
  [PlanFault.LogTruncated]: (run) => {
    void truncateCoveredRecords(run);
    return () => undefined;
  },
  [PlanFault.VmPaused]: (run, { vmIndex: index }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.gate.pause();
    const resumeDelivery = run.fleet.hub.pause(vm.name);
    return () => {
      if (!run.fleet.vms.includes(vm)) return;
      resumeDelivery();
      vm.gate.resume();
    };
  },
  [PlanFault.VmKilled]: (run, { vmIndex: index }) => {
    const vm = run.vmAt(index);
    if (vm !== undefined && run.fleet.vms.length > 1) run.fleet.kill(vm);
    return () => undefined;
  },
  [PlanFault.VmStarted]: (run) => {
    run.startVm();
    return () => undefined;
  },
  [PlanFault.PeersPartitioned]: (run, { vmIndex: index }) => partitionVm(run, index, "cut"),
  [PlanFault.PeersSilent]: (run, { vmIndex: index }) => partitionVm(run, index, "silence"),
  [PlanFault.ServiceLostAnswer]: (run) =>
    injectServiceFault(run, serviceClients.ServiceFault.LostAnswer),
  [PlanFault.ServiceSilent]: (run) => injectServiceFault(run, serviceClients.ServiceFault.Silent),
  [PlanFault.ServiceUnreachable]: (run) =>
    injectServiceFault(run, serviceClients.ServiceFault.Unreachable),
  [PlanFault.ServiceSlow]: (run) => {
    run.fleet.service.latencyMs = SLOW_SERVICE_LATENCY_MS;
    return () => (run.fleet.service.latencyMs = 5);
  },
};

function injectLogFault(run: PlanRun, fault: logModel.LogFault): UndoFault {
  run.fleet.log.inject(fault);
  return () => run.fleet.log.heal(fault);
}

function injectServiceFault(run: PlanRun, fault: serviceClients.ServiceFault): UndoFault {
  run.fleet.service.fault = fault;
  return () => (run.fleet.service.fault = serviceClients.ServiceFault.None);
}

function partitionVm(run: PlanRun, index: number, how: "cut" | "silence"): UndoFault {
  const vm = run.vmAt(index);
  if (vm === undefined) return () => undefined;
  const others = run.fleet.vms.filter((other) => other !== vm);
  for (const other of others) run.fleet.hub[how](vm.name, other.name);
  return () => {
    for (const other of others) run.fleet.hub.heal(vm.name, other.name);
  };
}

/** Truncates the records that the newest snapshot covers, as the end of their retention would. */
async function truncateCoveredRecords(run: PlanRun): Promise<void> {
  const offsets = run.fleet.vms.map((vm) => vm.calls.describe().follower.snapshotOffset);
  const coveredOffset = Math.max(-1, ...offsets);
  await Promise.resolve();
  run.fleet.log.truncateBefore(platform.LogStream.Calls, coveredOffset + 1);
}
