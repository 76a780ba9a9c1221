import * as fastCheck from "fast-check";

import * as engineTypes from "../../../../standins/engine/types.js";
import type * as vms from "../../../../standins/vms/index.js";
import * as fleetTypes from "../../../../src/fleet/types.js";

/** What may go wrong. */
export enum FaultKind {
  KillVm = "kill-vm",
  PauseVm = "pause-vm",
  CutLink = "cut-link",
  SilenceLink = "silence-link",
  PartDataCentres = "part-data-centres",
  KillEngine = "kill-engine",
  StallEngine = "stall-engine",
  SilenceEngine = "silence-engine",
  ReclaimEngine = "reclaim-engine",
}

/** One fault: what, where, when and for how long. */
export interface Fault {
  readonly kind: FaultKind;
  readonly vm: string;
  readonly otherVm: string;
  readonly engine: string;
  readonly atMs: number;
  readonly durationMs: number;
}

/** Whether a fault takes away a VM, or some of what other VMs can reach. */
export function isVmFault(kind: FaultKind): boolean {
  return VM_FAULTS.has(kind);
}

const VM_FAULTS: ReadonlySet<FaultKind> = new Set([
  FaultKind.KillVm,
  FaultKind.PauseVm,
  FaultKind.CutLink,
  FaultKind.SilenceLink,
  FaultKind.PartDataCentres,
]);

/** Time after which other VMs call a VM that says nothing dead. */
const NOTICED_AFTER_MS = 1_000;

/** Random faults in a random order. */
export function arbitraryFaults(
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

/** Has a fault come about at its time, and end at its own. */
export function planFault(group: vms.VmGroup, fault: Fault): void {
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
  [FaultKind.PartDataCentres]: (group, { durationMs }) => {
    const heal = group.part("dc1", "dc2", NOTICED_AFTER_MS);
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

/** One VM is always left, so that callers have somewhere to go. */
function killVm(group: vms.VmGroup, fault: Fault): void {
  if (group.isDown(fault.vm) || group.runningVms().length === 1) return;
  group.killVm(fault.vm, NOTICED_AFTER_MS);
}

function pauseVm(group: vms.VmGroup, fault: Fault): void {
  if (group.isDown(fault.vm)) return;
  const resume = group.pauseVm(fault.vm);
  const notice = group.clock.schedule(NOTICED_AFTER_MS, () => {
    if (!group.isDown(fault.vm)) group.markVm(fault.vm, fleetTypes.MemberState.Dead);
  });
  group.clock.schedule(fault.durationMs, () => {
    notice[Symbol.dispose]();
    if (group.isDown(fault.vm)) return;
    resume();
    group.markVm(fault.vm, fleetTypes.MemberState.Live);
  });
}
