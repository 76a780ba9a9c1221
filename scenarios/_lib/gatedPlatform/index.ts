import * as neverthrow from "neverthrow";

import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as platform from "../../../src/controlPlane/types.js";
import * as linkTables from "../linkTable/index.js";
import type * as vmGates from "../vmGate/index.js";

type Outcome<T> = Promise<neverthrow.Result<T, stepError.StepError>>;

/** A VM, its links to the other parties, and the gate that pauses or kills it. */
export interface VmLinks {
  readonly self: linkTables.Party;
  readonly gate: vmGates.VmGate;
  readonly links: linkTables.LinkTable;
}

/** The log for one VM; requests fail while the VM is dead or partitioned from the platform. */
export class GatedLogService implements platform.LogService {
  constructor(
    private readonly log: platform.LogService,
    private readonly link: VmLinks,
  ) {}

  append(stream: platform.LogStream, payloads: readonly unknown[]): Outcome<number> {
    return passThrough(this.link, "log.append", () => this.log.append(stream, payloads));
  }

  read(
    stream: platform.LogStream,
    fromOffset: number,
    options?: platform.LogReadOptions,
  ): Outcome<platform.LogBatch> {
    return passThrough(this.link, "log.read", () => this.log.read(stream, fromOffset, options));
  }
}

/** The list of VMs for one VM; reads fail while the VM is dead or partitioned from the platform. */
export class GatedVmList implements platform.VmList {
  constructor(
    private readonly vmList: platform.VmList,
    private readonly link: VmLinks,
  ) {}

  list(): Outcome<readonly platform.ListedVm[]> {
    return passThrough(this.link, "vm-list.read", () => this.vmList.list());
  }
}

async function passThrough<T>(link: VmLinks, step: string, work: () => Outcome<T>): Outcome<T> {
  await link.gate.waitUntilResumed();
  if (isUnreachable(link))
    return neverthrow.err(createUnreachableError(step, stepError.ExecutionState.NotRun));
  const result = await work();
  await link.gate.waitUntilResumed();
  if (isUnreachable(link))
    return neverthrow.err(createUnreachableError(step, stepError.ExecutionState.Unknown));
  return result;
}

function isUnreachable({ self, gate, links }: VmLinks): boolean {
  return gate.isDead || links.isPartitioned(self, linkTables.PLATFORM);
}

function createUnreachableError(
  step: string,
  execution: stepError.ExecutionState,
): stepError.StepError {
  return new stepError.StepError("the scenario makes the platform unreachable for this VM", {
    code: stepError.ErrorCode.PlatformUnavailable,
    step,
    peer: "platform",
    execution,
  });
}
