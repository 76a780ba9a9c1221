import * as fc from "fast-check";

import * as callsFleet from "../../../standins/calls/index.js";
import * as logModel from "../../../standins/log/model/index.js";
import * as serviceClients from "../../../standins/service/clients/index.js";
import type * as calls from "../../../src/calls/index.js";
import * as platform from "../../../src/controlPlane/types.js";
import * as replication from "../../../src/replication/index.js";

/** Faults that a plan brings about; each is healed after its time. */
export enum PlanFault {
  LogDown = "log-down",
  LogLostAnswer = "log-lost-answer",
  LogSlow = "log-slow",
  LogLinkCut = "log-link-cut",
  LogLate = "log-late",
  LogTruncated = "log-truncated",
  VmPaused = "vm-paused",
  VmKilled = "vm-killed",
  VmStarted = "vm-started",
  PeersParted = "peers-parted",
  PeersSilent = "peers-silent",
  ServiceLostAnswer = "service-lost-answer",
  ServiceSilent = "service-silent",
  ServiceUnreachable = "service-unreachable",
  ServiceSlow = "service-slow",
}

/** A fault at a time, at a VM where it concerns one. */
export interface PlannedFault {
  readonly fault: PlanFault;
  readonly atMs: number;
  readonly durationMs: number;
  readonly vmIndex: number;
}

/** A caller's call at a time. */
export interface PlannedCall {
  readonly atMs: number;
  readonly vmIndex: number;
  readonly key: string;
  readonly body: string;
  readonly deadlineMs: number;
  readonly hasStatusPath: boolean;
}

/** One run: calls and faults on a fleet. */
export interface Plan {
  readonly vmsCount: number;
  readonly calls: readonly PlannedCall[];
  readonly faults: readonly PlannedFault[];
}

const PLAN_MS = 20_000;
const HEALING_MS = 40_000;
const SLOW_LOG_MS = 3_000;
const SLOW_SERVICE_MS = 6_000;
const RECORDS_PER_SNAPSHOT = 12;
const MAX_VMS = 5;

const atMs = fc.integer({ min: 0, max: PLAN_MS });
const vmIndex = fc.integer({ min: 0, max: MAX_VMS - 1 });

/** Random plans; they shrink to few calls and faults. */
export const planArbitrary: fc.Arbitrary<Plan> = fc.record({
  vmsCount: fc.integer({ min: 2, max: MAX_VMS }),
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

/** What broke, in words; empty where all promises held. */
export async function runPlan(plan: Plan): Promise<string[]> {
  const run = new PlanRun(plan);
  return run.execute();
}

/** Runs plans by a seed and reports the first that breaks a promise, in its smallest form. */
export async function fuzzOnceOnly(runsCount: number, seed: number): Promise<string | null> {
  const property = fc.asyncProperty(planArbitrary, async (plan) => {
    const problems = await runPlan(plan);
    if (problems.length > 0) throw new Error(problems.join("; "));
  });
  const details = await fc.check(property, { numRuns: runsCount, seed });
  return details.failed ? (fc.defaultReportMessage(details) ?? "failed") : null;
}

type Undo = () => void;
type Inject = (run: PlanRun, fault: PlannedFault) => Undo;

interface FinishedCall {
  readonly planned: PlannedCall;
  readonly result: Awaited<ReturnType<calls.Calls["call"]>>;
}

/** One plan on its way. */
class PlanRun {
  readonly fleet = new callsFleet.CallsFleet();
  private readonly finished: FinishedCall[] = [];
  private startedCount = 0;
  private readonly pending = new Map<string, callsFleet.CallsVm>();

  constructor(private readonly plan: Plan) {}

  async execute(): Promise<string[]> {
    for (let index = 0; index < this.plan.vmsCount; index += 1) this.startVm();
    const { clock } = this.fleet;
    for (const planned of this.plan.calls) clock.schedule(planned.atMs, () => this.begin(planned));
    for (const fault of this.plan.faults) clock.schedule(fault.atMs, () => this.inject(fault));
    await clock.runForMs(PLAN_MS + HEALING_MS);
    return [
      ...this.checkExecutions(),
      ...this.checkAnswers(),
      ...this.checkPending(),
      ...this.checkReplicas(),
    ];
  }

  startVm(): void {
    const dataCentre = this.startedCount % 2 === 0 ? "dc-a" : "dc-b";
    const options = { snapshotEveryRecords: RECORDS_PER_SNAPSHOT };
    this.fleet.start(`vm-${this.startedCount}`, dataCentre, options);
    this.startedCount += 1;
  }

  vmAt(index: number): callsFleet.CallsVm | undefined {
    const { vms } = this.fleet;
    return vms[index % Math.max(1, vms.length)];
  }

  private inject(fault: PlannedFault): void {
    const undo = INJECTIONS[fault.fault](this, fault);
    this.fleet.clock.schedule(fault.durationMs, undo);
  }

  private begin(planned: PlannedCall): void {
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

  /** Every call at a VM that lives ends by its deadline. */
  private checkPending(): string[] {
    return [...this.pending]
      .filter(([, vm]) => this.fleet.vms.includes(vm))
      .map(([requestId, vm]) => `${requestId} at ${vm.name} never ended`);
  }

  private checkAnswers(): string[] {
    const problems: string[] = [];
    for (const { planned, result } of this.finished) {
      const summary = callsFleet.summarise(result);
      const isExecuted = this.fleet.service.executionsByKey.has(planned.key);
      if (result.isErr()) continue;
      if (summary !== `execution ${planned.key}`) problems.push(`${planned.key} got ${summary}`);
      if (!isExecuted) problems.push(`${planned.key} was answered without an execution`);
    }
    return [...problems, ...this.checkRefusals()];
  }

  /** Where every call with a key was refused as not run, nothing may have run. */
  private checkRefusals(): string[] {
    const startedKeys = new Set(this.plan.calls.map((planned) => planned.key));
    return [...startedKeys].flatMap((key) => {
      const results = this.finished.filter(({ planned }) => planned.key === key);
      const isAllFinished =
        this.plan.calls.filter((call) => call.key === key).length === results.length;
      const isNeverRun = results.every(({ result }) => callsFleet.summarise(result) === "not-run");
      const isExecuted = this.fleet.service.executionsByKey.has(key);
      const isBroken = isAllFinished && isNeverRun && isExecuted;
      return isBroken ? [`${key} was executed, and every call said not-run`] : [];
    });
  }

  /** After healing, live VMs that read the whole log hold the same keys. */
  private checkReplicas(): string[] {
    const states = this.fleet.vms
      .map((vm) => vm.calls.describe())
      .filter(({ follower }) => follower.phase === replication.FollowerPhase.Following)
      .map(({ keysByPhase, follower }) => JSON.stringify([follower.appliedOffset, keysByPhase]));
    const distinct = [...new Set(states)];
    return distinct.length > 1 ? [`replicas differ: ${distinct.join(" and ")}`] : [];
  }
}

const INJECTIONS: Readonly<Record<PlanFault, Inject>> = {
  [PlanFault.LogDown]: (run) => injectLogFault(run, logModel.LogFault.Down),
  [PlanFault.LogLostAnswer]: (run) => injectLogFault(run, logModel.LogFault.LostAnswer),
  [PlanFault.LogSlow]: (run) => {
    run.fleet.log.extraLatencyMs = SLOW_LOG_MS;
    return () => (run.fleet.log.extraLatencyMs = 0);
  },
  [PlanFault.LogLinkCut]: (run, { vmIndex: index }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.log.isCut = true;
    return () => (vm.log.isCut = false);
  },
  [PlanFault.LogLate]: (run, { vmIndex: index, durationMs }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.log.lateByMs = durationMs / 2;
    return () => (vm.log.lateByMs = 0);
  },
  [PlanFault.LogTruncated]: (run) => {
    void truncateCovered(run);
    return () => undefined;
  },
  [PlanFault.VmPaused]: (run, { vmIndex: index }) => {
    const vm = run.vmAt(index);
    if (vm === undefined) return () => undefined;
    vm.gate.pause();
    const letGo = run.fleet.hub.pause(vm.name);
    return () => {
      if (!run.fleet.vms.includes(vm)) return;
      letGo();
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
  [PlanFault.PeersParted]: (run, { vmIndex: index }) => partVm(run, index, "cut"),
  [PlanFault.PeersSilent]: (run, { vmIndex: index }) => partVm(run, index, "silence"),
  [PlanFault.ServiceLostAnswer]: (run) =>
    injectServiceFault(run, serviceClients.ServiceFault.LostAnswer),
  [PlanFault.ServiceSilent]: (run) => injectServiceFault(run, serviceClients.ServiceFault.Silent),
  [PlanFault.ServiceUnreachable]: (run) =>
    injectServiceFault(run, serviceClients.ServiceFault.Unreachable),
  [PlanFault.ServiceSlow]: (run) => {
    run.fleet.service.latencyMs = SLOW_SERVICE_MS;
    return () => (run.fleet.service.latencyMs = 5);
  },
};

function injectLogFault(run: PlanRun, fault: logModel.LogFault): Undo {
  run.fleet.log.inject(fault);
  return () => run.fleet.log.heal(fault);
}

function injectServiceFault(run: PlanRun, fault: serviceClients.ServiceFault): Undo {
  run.fleet.service.fault = fault;
  return () => (run.fleet.service.fault = serviceClients.ServiceFault.None);
}

function partVm(run: PlanRun, index: number, how: "cut" | "silence"): Undo {
  const vm = run.vmAt(index);
  if (vm === undefined) return () => undefined;
  const others = run.fleet.vms.filter((other) => other !== vm);
  for (const other of others) run.fleet.hub[how](vm.name, other.name);
  return () => {
    for (const other of others) run.fleet.hub.heal(vm.name, other.name);
  };
}

/** The end of retention passes what the newest snapshot covers, as it would long after. */
async function truncateCovered(run: PlanRun): Promise<void> {
  const offsets = run.fleet.vms.map((vm) => vm.calls.describe().follower.snapshotOffset);
  const coveredOffset = Math.max(-1, ...offsets);
  await Promise.resolve();
  run.fleet.log.truncateBefore(platform.LogStream.Calls, coveredOffset + 1);
}
