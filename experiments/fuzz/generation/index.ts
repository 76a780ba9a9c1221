import * as fastCheck from "fast-check";

import * as callers from "../../../standins/vms/caller/index.js";
import * as vms from "../../../standins/vms/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import * as catalogue from "../../../src/catalogue/types.js";
import * as faults from "../_lib/faults/index.js";

/** Virtual time in which faults come about. */
const FAULTS_WITHIN_MS = 3_000;

/** Virtual time after which every request must have been answered. */
const ANSWERED_WITHIN_MS = 60_000;

const DEADLINE_MS = 30_000;

const VMS = { a: "dc1", b: "dc1", c: "dc2", d: "dc2" };
const ENGINES = { e1: "dc1", e2: "dc1", e3: "dc2" };

/** Errors that say that holders of a generation were lost. */
const LOSS_CODES: ReadonlySet<stepError.ErrorCode> = new Set([
  stepError.ErrorCode.Interrupted,
  stepError.ErrorCode.NotFound,
]);

/** One request of a run. */
interface FuzzedRequest {
  readonly vm: string;
  readonly atMs: number;
  readonly lengthTokens: number;
  readonly class: catalogue.RequestClass;
}

/** One run: what callers ask for, and what fails meanwhile. */
export interface FuzzedRun {
  readonly seed: number;
  readonly requests: readonly FuzzedRequest[];
  readonly faults: readonly faults.Fault[];
}

/** Random runs, with faults that may come together and twice. */
export const runs: fastCheck.Arbitrary<FuzzedRun> = fastCheck.record({
  seed: fastCheck.nat(1_000_000),
  requests: fastCheck.array(
    fastCheck.record({
      vm: fastCheck.constantFrom(...Object.keys(VMS)),
      atMs: fastCheck.nat(FAULTS_WITHIN_MS),
      lengthTokens: fastCheck.integer({ min: 1, max: 150 }),
      class: fastCheck.constantFrom(...Object.values(catalogue.RequestClass)),
    }),
    { minLength: 1, maxLength: 4 },
  ),
  faults: faults.arbitraryFaults(Object.keys(VMS), Object.keys(ENGINES), FAULTS_WITHIN_MS),
});

/** Plays random runs by a seed; returns what broke, or null. */
export async function fuzzGeneration(runsCount: number, seed: number): Promise<string | null> {
  const property = fastCheck.asyncProperty(runs, async (run) => {
    const problems = await play(run);
    if (problems.length > 0) throw new Error(problems.join("; "));
  });
  const details = await fastCheck.check(property, { numRuns: runsCount, seed });
  if (!details.failed) return null;
  const { errorInstance } = details;
  const reason = errorInstance instanceof Error ? errorInstance.message : String(errorInstance);
  return `${fastCheck.defaultReportMessage(details) ?? "failed"}\n${reason}`;
}

/**
 * Plays a run and checks what its callers saw.
 *
 * @returns what was wrong, one line each; empty where all promises held
 */
export async function play(run: FuzzedRun): Promise<readonly string[]> {
  const lengths = new Map(run.requests.map((request, index) => [idOf(index), request]));
  await using group = new vms.VmGroup({
    vms: VMS,
    engines: ENGINES,
    seed: run.seed,
    engineOptions: {
      capacityTokens: 2_000,
      lengthOf: (request) => lengths.get(request.requestId)?.lengthTokens ?? 1,
    },
  });
  await group.settle();
  const asking = run.requests.map((request, index) => new Asking(group, request, idOf(index)));
  for (const fault of run.faults) faults.planFault(group, fault);
  for (const asked of asking) asked.plan();
  await group.clock.runForMs(FAULTS_WITHIN_MS + ANSWERED_WITHIN_MS);
  const vmFaultsCount = run.faults.filter((fault) => faults.isVmFault(fault.kind)).length;
  return asking.flatMap((asked) => asked.problems(vmFaultsCount));
}

function idOf(index: number): string {
  return `request-${index}`;
}

/** A caller that comes back elsewhere when its VM dies or the connection is reset. */
class Asking {
  private readonly caller: callers.Caller;
  private vmName: string;
  private comebacksCount = 0;

  constructor(
    private readonly group: vms.VmGroup,
    private readonly request: FuzzedRequest,
    requestId: string,
  ) {
    this.caller = new callers.Caller(group, requestId);
    this.vmName = request.vm;
  }

  plan(): void {
    this.group.clock.schedule(this.request.atMs, () => {
      if (this.group.isDown(this.vmName)) this.vmName = this.group.runningVms()[0] ?? "";
      const overrides = { class: this.request.class, deadlineMs: DEADLINE_MS };
      void this.caller.submit(this.vmName, overrides);
      this.watch();
    });
  }

  problems(vmFaultsCount: number): readonly string[] {
    const { caller } = this;
    const problems: string[] = [];
    const seen = caller.tokens.length;
    const check = (isRight: boolean, what: string): void => {
      if (!isRight) problems.push(`${caller.requestId}: ${what}`);
    };
    check(caller.isDone, `no answer after ${seen} tokens`);
    check(caller.misplacedFramesCount === 0, "tokens out of order");
    check(callers.isOneSampling(caller.tokens), "tokens of two samplings");
    const isWhole = seen === this.request.lengthTokens;
    if (caller.finishReason !== null) check(isWhole, `cut short without a word at ${seen}`);
    const stated = caller.error?.deliveredTokens;
    if (stated !== undefined) check(stated === seen, `stated ${stated} tokens, delivered ${seen}`);
    const isTokenLoss = LOSS_CODES.has(caller.error?.code ?? stepError.ErrorCode.Internal);
    if (caller.isAccepted && vmFaultsCount <= 1)
      check(!isTokenLoss, "one failure of a VM or link lost the generation");
    const wasRun =
      caller.refusal !== null && caller.refusal.execution !== stepError.ExecutionState.NotRun;
    check(!wasRun, "a refusal that does not say not-run");
    return problems;
  }

  /** Notices a dead VM the way a caller's connection does. */
  private watch(): void {
    if (this.caller.isDone) return;
    if (this.group.isDown(this.vmName)) this.comeBack();
    this.group.clock.schedule(100, () => this.watch());
  }

  private comeBack(): void {
    const running = this.group.runningVms();
    this.comebacksCount += 1;
    this.vmName = running[this.comebacksCount % running.length] ?? this.vmName;
    void this.caller.attach(this.vmName);
  }
}
