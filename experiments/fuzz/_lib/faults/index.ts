import * as fastCheck from "fast-check";

import * as engineTypes from "../../../../standins/engine/types.js";
import type * as vms from "../../../../standins/vms/index.js";
import * as fleetTypes from "../../../../src/fleet/types.js";

/** Kinds of injected faults. */
export enum FaultKind {
  KillVm = "kill-vm",
  PauseVm = "pause-vm",
  /** Connections over the link break. */
  CutLink = "cut-link",
  /** Messages over the link are lost, but its connections stay open. */
  SilenceLink = "silence-link",
  PartitionDataCentres = "part-data-centres",
  KillEngine = "kill-engine",
  StallEngine = "stall-engine",
  SilenceEngine = "silence-engine",
  ReclaimEngine = "reclaim-engine",
}

/** One fault with its targets, start and duration; each kind uses only some of the targets. */
export interface Fault {
  readonly kind: FaultKind;
  readonly vm: string;
  readonly otherVm: string;
  readonly engine: string;
  readonly atMs: number;
  readonly durationMs: number;
}

/** Returns whether a fault makes a VM unavailable or partitions VMs from each other. */
export function isVmFault(kind: FaultKind): boolean {
  return VM_FAULTS.has(kind);
}

const VM_FAULTS: ReadonlySet<FaultKind> = new Set([
  FaultKind.KillVm,
  FaultKind.PauseVm,
  FaultKind.CutLink,
  FaultKind.SilenceLink,
  FaultKind.PartitionDataCentres,
]);

/** Time after which other VMs declare a silent VM dead. */
const DETECTION_DELAY_MS = 1_000;

/** Generates up to six random faults that start within the given time in ms. */
export function createFaultsArbitrary(
  vmNames: readonly string[],
  engineNames: readonly string[],
  withinMs: number,
): fastCheck.Arbitrary<Fault[]> {
  const fault = fastCheck.record({
    kind: fastCheck.constantFrom(...Object.values(FaultKind)),
    vm: fastCheck.constantFrom(...vmNames),
    otherVm: fastCheck.constantFrom(...vmNames),
    engine: fastCheck.constantFrom(...engineNames),
    atMs: fastCheck.nat(withinMs),
    durationMs: fastCheck.integer({ min: 50, max: 3_000 }),
  });
  return fastCheck.array(fault, { maxLength: 6 });
}

/** Schedules a fault's start and, for temporary faults, its end on the group's virtual clock. */
export function scheduleFault(group: vms.VmGroup, fault: Fault): void {
  group.clock.schedule(fault.atMs, () => HANDLERS[fault.kind](group, fault));
}

const HANDLERS: Readonly<Record<FaultKind, (group: vms.VmGroup, fault: Fault) => void>> = {
  [FaultKind.KillVm]: killVm,
  [FaultKind.PauseVm]: pauseVm,
  [FaultKind.CutLink]: (group, { vm, otherVm, durationMs }) => {
    if (vm === otherVm) return;
    group.hub.cut(vm, otherVm);
    group.clock.schedule(durationMs, () => group.hub.heal(vm, otherVm));
  },
  [FaultKind.SilenceLink]: (group, { vm, otherVm, durationMs }) => {
    if (vm === otherVm) return;
    group.hub.silence(vm, otherVm);
    group.clock.schedule(durationMs, () => group.hub.heal(vm, otherVm));
  },
  [FaultKind.PartitionDataCentres]: (group, { durationMs }) => {
    const heal = group.partition("dc1", "dc2", DETECTION_DELAY_MS);
    group.clock.schedule(durationMs, heal);
  },
  [FaultKind.KillEngine]: (group, { engine }) =>
    group.engine(engine).inject(engineTypes.EngineFault.Dead),
  [FaultKind.StallEngine]: (group, { engine, durationMs }) => {
    group.engine(engine).inject(engineTypes.EngineFault.Stalled);
    group.clock.schedule(durationMs, () =>
      group.engine(engine).heal(engineTypes.EngineFault.Stalled),
    );
  },
  [FaultKind.SilenceEngine]: (group, { engine }) =>
    group.engine(engine).inject(engineTypes.EngineFault.Silent),
  [FaultKind.ReclaimEngine]: (group, { engine, durationMs }) =>
    group.engine(engine).reclaim(durationMs),
};

/** Kills a VM, except the last running one, which callers need to reconnect to. */
function killVm(group: vms.VmGroup, fault: Fault): void {
  if (group.isDown(fault.vm) || group.runningVms().length === 1) return;
  group.killVm(fault.vm, DETECTION_DELAY_MS);
}

function pauseVm(group: vms.VmGroup, fault: Fault): void {
  if (group.isDown(fault.vm)) return;
  const resume = group.pauseVm(fault.vm);
  const detection = group.clock.schedule(DETECTION_DELAY_MS, () => {
    if (!group.isDown(fault.vm)) group.setVmState(fault.vm, fleetTypes.MemberState.Dead);
  });
  group.clock.schedule(fault.durationMs, () => {
    detection[Symbol.dispose]();
    if (group.isDown(fault.vm)) return;
    resume();
    group.setVmState(fault.vm, fleetTypes.MemberState.Live);
  });
}
