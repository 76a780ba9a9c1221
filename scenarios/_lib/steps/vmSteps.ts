import * as timers from "node:timers/promises";

import type * as catalogue from "../../../src/catalogue/types.js";
import * as faults from "../../../standins/faults/index.js";
import type * as types from "../../types.js";
import * as baseItems from "../baseItems.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as waitUntil from "../waitUntil/index.js";
import * as catalogueSteps from "./catalogueSteps.js";
import * as targets from "./targets.js";

/** Time within which VMs that start together grant shares of the accounts' limits. */
const SHARES_SETTLE_MS = 2_500;

/**
 * Starts VMs and waits until they are ready. The first start also publishes the backend
 * servers and accounts that the scenario declares.
 */
export async function start(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"start">,
): Promise<void> {
  const isFirst = run.vms.size === 0;
  const names = step.vms ?? run.scenario.vms.map((vm) => vm.name);
  await Promise.all(names.map((name) => run.startVm(name)));
  await waitForReady(run, names, step.timeoutMs);
  if (!isFirst) return;
  for (const item of baseItems.createBaseItems(run.scenario, run.world))
    await publishItem(run, item);
  await catalogueSteps.waitUntilInForce(run, step.timeoutMs);
  if (step.settle && names.length > 1) await timers.setTimeout(SHARES_SETTLE_MS);
}

/** Restarts a killed VM under its name, or ends the kill fault of a stand-in. */
export async function restart(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"restart">,
): Promise<void> {
  const target = await targets.findTarget(run, step.target);
  if (target.kind === "stand-in") {
    await run.standIn(target.name).heal(faults.FaultKind.Kill);
    return;
  }
  await run.startVm(target.name);
  await waitForReady(run, [target.name], step.timeoutMs);
}

/** Kills a VM or a stand-in. */
export async function kill(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"kill">,
): Promise<void> {
  const target = await targets.findTarget(run, step.target);
  if (target.kind === "vm") await run.killVm(target.name);
  else await run.standIn(target.name).inject({ fault: faults.FaultKind.Kill });
}

/** Pauses a VM: its timers and I/O wait until it is resumed. */
export function pause(run: scenarioRuns.ScenarioRun, step: types.StepOf<"pause">): void {
  run.vm(step.vm).gate.pause();
}

/** Resumes a paused VM. */
export function resume(run: scenarioRuns.ScenarioRun, step: types.StepOf<"resume">): void {
  run.vm(step.vm).gate.resume();
}

/** Starts the graceful leave of a VM. */
export function leave(run: scenarioRuns.ScenarioRun, step: types.StepOf<"leave">): void {
  run.vm(step.vm).leave();
}

/** Waits until all named VMs report that they are ready. */
export async function waitForReady(
  run: scenarioRuns.ScenarioRun,
  names: readonly string[],
  timeoutMs: number,
): Promise<void> {
  const describeUnready = (): string[] =>
    names.flatMap((name) => {
      const { isReady, reason } = run.vm(name).getDaemon().readiness();
      return isReady ? [] : [`${name}: ${reason}`];
    });
  await waitUntil.waitUntil(
    () => describeUnready().length === 0,
    timeoutMs,
    () => describeUnready().join("; "),
  );
}

async function publishItem(
  run: scenarioRuns.ScenarioRun,
  item: catalogue.CatalogueItem,
): Promise<void> {
  const admin = run.adminOf(run.vmAt(undefined));
  const { kind, name } = item;
  await admin.proposeChange({ changeId: `${kind}-${name}`, kind, name, baseRevision: null, item });
}
