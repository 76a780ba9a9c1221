import * as fs from "node:fs/promises";
import * as path from "node:path";

import * as yaml from "yaml";

import * as catalogue from "../../../src/catalogue/index.js";
import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as waitUntil from "../waitUntil/index.js";

/** Where `file` looks, from the folder in which scenarios are run. */
const ENTRIES_FOLDER = "scenarios/entries";

/** Changes items as an operator, each on the newest revision or on one that has been replaced. */
export async function apply(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"apply">,
): Promise<void> {
  const text = step.file === undefined ? yaml.stringify(step.items) : await readEntries(step.file);
  const items = catalogue.parseCatalogueDocument(text);
  if (items.isErr()) {
    throw new Error(items.error.map((issue) => `${issue.path}: ${issue.message}`).join("; "));
  }
  for (const item of items.value) {
    const outcome = await changeItem(run, step, item);
    if (outcome !== step.expect) throw new Error(`${item.kind}/${item.name}: ${outcome}`);
  }
  if (step.expect === "accepted" && step.waitForAll) await waitForForce(run, step.timeoutMs);
}

/** Tells all VMs to send an engine no new work. */
export async function drain(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"drain">,
): Promise<void> {
  const items = await run.adminOf(run.vmAt(undefined)).listItems();
  const engine = items.find(
    ({ item }) => item.kind === catalogue.ItemKind.Engine && item.name === step.engine,
  )?.item;
  if (engine?.kind !== catalogue.ItemKind.Engine) throw new Error(`no engine ${step.engine}`);
  const drained = { ...engine, state: catalogue.DesiredState.Draining };
  const outcome = await changeItem(run, { operator: "operator", base: "current" }, drained);
  if (outcome !== "accepted") throw new Error(outcome);
  await waitForForce(run, step.timeoutMs);
}

function readEntries(file: string): Promise<string> {
  return fs.readFile(path.join(ENTRIES_FOLDER, file), "utf8");
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

/** How a change is made. */
interface ChangeOptions {
  readonly at?: string | undefined;
  readonly operator: string;
  readonly base: "current" | "stale";
}

async function changeItem(
  run: scenarioRuns.ScenarioRun,
  step: ChangeOptions,
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
