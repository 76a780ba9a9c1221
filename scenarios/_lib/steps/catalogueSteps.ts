import * as yaml from "yaml";

import * as catalogue from "../../../src/catalogue/index.js";
import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as waitUntil from "../waitUntil/index.js";

/** Changes items as an operator, each on the newest revision or on one that has been replaced. */
export async function apply(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"apply">,
): Promise<void> {
  const items = catalogue.parseCatalogueDocument(yaml.stringify(step.items));
  if (items.isErr()) {
    throw new Error(items.error.map((issue) => `${issue.path}: ${issue.message}`).join("; "));
  }
  for (const item of items.value) {
    const outcome = await change(run, step, item);
    if (outcome !== step.expect) throw new Error(`${item.kind}/${item.name}: ${outcome}`);
  }
  if (step.expect === "accepted") await waitForForce(run, step.timeoutMs);
}

/** Waits until all VMs that run have the log's newest change in force. */
export async function waitForForce(
  run: scenarioRuns.ScenarioRun,
  timeoutMs: number,
): Promise<void> {
  const offsets = (): number[] =>
    run.runningVms().map((vm) => vm.running().catalogue.appliedOffset);
  const highest = Math.max(-1, ...offsets());
  await waitUntil.waitUntil(
    () => offsets().every((offset) => offset >= highest),
    timeoutMs,
    () => `applied offsets are ${offsets().join(", ")} and not ${highest}`,
  );
}

async function change(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"apply">,
  item: catalogue.CatalogueItem,
): Promise<string> {
  const admin = run.adminOf(run.vmAt(step.at), step.operator);
  const { kind, name } = item;
  const key = `${kind}/${name}`;
  const current = (await admin.listItems()).find(
    (known) => known.item.kind === kind && known.item.name === name,
  );
  const newest = current?.revision ?? null;
  const baseRevision = step.base === "stale" ? (run.lastBases.get(key) ?? null) : newest;
  run.lastBases.set(key, baseRevision);
  const changeId = `${step.operator}-${key}-${baseRevision ?? "new"}`;
  try {
    await admin.proposeChange({ changeId, kind, name, baseRevision, item });
    return "accepted";
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return /conflict|revision/i.test(message) ? "conflict" : message;
  }
}
