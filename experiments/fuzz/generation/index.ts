import * as fastCheck from "fast-check";

import * as callers from "../../../standins/vms/caller/index.js";
import * as vms from "../../../standins/vms/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import * as catalogue from "../../../src/catalogue/types.js";
import * as faults from "../_lib/faults/index.js";

/** Virtual time in which requests and faults start. */
const FAULT_PHASE_MS = 3_000;

/** Virtual time after the fault phase within which every request must have ended. */
const ANSWER_TIMEOUT_MS = 60_000;

const DEADLINE_MS = 30_000;

const DATA_CENTRE_BY_VM = { a: "dc1", b: "dc1", c: "dc2", d: "dc2" };
const DATA_CENTRE_BY_ENGINE = { e1: "dc1", e2: "dc1", e3: "dc2" };

/** Error codes that a caller gets after the loss of a generation's holders. */
const HOLDER_LOSS_CODES: ReadonlySet<stepError.ErrorCode> = new Set([
  stepError.ErrorCode.Interrupted,
  stepError.ErrorCode.NotFound,
]);

/** One request of a fuzzed run. */
interface FuzzedRequest {
  readonly vm: string;
  readonly atMs: number;
  readonly lengthTokens: number;
  readonly class: catalogue.RequestClass;
}

/** One fuzzed run: the requests of callers and the faults injected meanwhile. */
export interface FuzzedRun {
  readonly seed: number;
  readonly requests: readonly FuzzedRequest[];
  readonly faults: readonly faults.Fault[];
}

/** Generates random runs, in which faults may overlap and repeat. */
export const runsArbitrary: fastCheck.Arbitrary<FuzzedRun> = fastCheck.record({
  seed: fastCheck.nat(1_000_000),
  requests: fastCheck.array(
    fastCheck.record({
      vm: fastCheck.constantFrom(...Object.keys(DATA_CENTRE_BY_VM)),
      atMs: fastCheck.nat(FAULT_PHASE_MS),
      lengthTokens: fastCheck.integer({ min: 1, max: 150 }),
      class: fastCheck.constantFrom(...Object.values(catalogue.RequestClass)),
    }),
    { minLength: 1, maxLength: 4 },
  ),
  faults: faults.createFaultsArbitrary(
    Object.keys(DATA_CENTRE_BY_VM),
    Object.keys(DATA_CENTRE_BY_ENGINE),
    FAULT_PHASE_MS,
  ),
});

/** Executes random runs from a seed; returns a report of the smallest failing run, or null. */
export async function fuzzGeneration(runsCount: number, seed: number): Promise<string | null> {
  const property = fastCheck.asyncProperty(runsArbitrary, async (run) => {
    const violations = await executeRun(run);
    if (violations.length > 0) throw new Error(violations.join("; "));
  });
  const details = await fastCheck.check(property, { numRuns: runsCount, seed });
  if (!details.failed) return null;
  const { errorInstance } = details;
  const reason = errorInstance instanceof Error ? errorInstance.message : String(errorInstance);
  return `${fastCheck.defaultReportMessage(details) ?? "failed"}\n${reason}`;
}

/**
 * Executes a run and checks what its callers observed.
 *
 * @returns one line per violated guarantee; empty if all held
 */
export async function executeRun(run: FuzzedRun): Promise<readonly string[]> {
  const lengths = new Map(run.requests.map((request, index) => [requestIdOf(index), request]));
  await using group = new vms.VmGroup({
    vms: DATA_CENTRE_BY_VM,
    engines: DATA_CENTRE_BY_ENGINE,
    seed: run.seed,
    engineOptions: {
      capacityTokens: 2_000,
      lengthOf: (request) => lengths.get(request.requestId)?.lengthTokens ?? 1,
    },
  });
  await group.settle();
  const fuzzedCallers = run.requests.map(
    (request, index) => new FuzzedCaller(group, request, requestIdOf(index)),
  );
  for (const fault of run.faults) faults.scheduleFault(group, fault);
  for (const fuzzedCaller of fuzzedCallers) fuzzedCaller.scheduleRequest();
  await group.clock.runForMs(FAULT_PHASE_MS + ANSWER_TIMEOUT_MS);
  const vmFaultsCount = run.faults.filter((fault) => faults.isVmFault(fault.kind)).length;
  return fuzzedCallers.flatMap((fuzzedCaller) => fuzzedCaller.listViolations(vmFaultsCount));
}

function requestIdOf(index: number): string {
  return `request-${index}`;
}

/** A caller that reconnects to another VM when its VM goes down. */
class FuzzedCaller {
  private readonly caller: callers.Caller;
  private vmName: string;
  private reconnectsCount = 0;

  constructor(
    private readonly group: vms.VmGroup,
    private readonly request: FuzzedRequest,
    requestId: string,
  ) {
    this.caller = new callers.Caller(group, requestId);
    this.vmName = request.vm;
  }

  scheduleRequest(): void {
    this.group.clock.schedule(this.request.atMs, () => {
      if (this.group.isDown(this.vmName)) this.vmName = this.group.runningVms()[0] ?? "";
      const overrides = { class: this.request.class, deadlineMs: DEADLINE_MS };
      void this.caller.submit(this.vmName, overrides);
      this.monitorVm();
    });
  }

  listViolations(vmFaultsCount: number): readonly string[] {
    const { caller } = this;
    const violations: string[] = [];
    const deliveredCount = caller.tokens.length;
    const check = (isSatisfied: boolean, violation: string): void => {
      if (!isSatisfied) violations.push(`${caller.requestId}: ${violation}`);
    };
    check(caller.isDone, `request did not end after ${deliveredCount} tokens`);
    check(caller.offsetMismatchesCount === 0, "received frames out of order");
    check(callers.isSingleSampling(caller.tokens), "received tokens of more than one sampling");
    const isWhole = deliveredCount === this.request.lengthTokens;
    if (caller.finishReason !== null)
      check(
        isWhole,
        `finished without an error after ${deliveredCount} tokens, not at its full length`,
      );
    const statedCount = caller.error?.deliveredTokens;
    if (statedCount !== undefined)
      check(
        statedCount === deliveredCount,
        `stated ${statedCount} delivered tokens in the error, but the caller received ${deliveredCount}`,
      );
    const isHolderLoss = HOLDER_LOSS_CODES.has(caller.error?.code ?? stepError.ErrorCode.Internal);
    if (caller.isAccepted && vmFaultsCount <= 1)
      check(!isHolderLoss, "at most one VM or link fault, but the generation was lost");
    const isPossiblyExecuted =
      caller.refusal !== null && caller.refusal.execution !== stepError.ExecutionState.NotRun;
    check(!isPossiblyExecuted, "the refusal does not state execution not-run");
    return violations;
  }

  /**
   * Polls every 100 ms whether the VM is down, as a broken connection would show, and then
   * reconnects.
   */
  private monitorVm(): void {
    if (this.caller.isDone) return;
    if (this.group.isDown(this.vmName)) this.reconnect();
    this.group.clock.schedule(100, () => this.monitorVm());
  }

  private reconnect(): void {
    const running = this.group.runningVms();
    this.reconnectsCount += 1;
    this.vmName = running[this.reconnectsCount % running.length] ?? this.vmName;
    void this.caller.attach(this.vmName);
  }
}
