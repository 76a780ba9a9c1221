import * as fs from "node:fs/promises";
import * as path from "node:path";

import * as yaml from "yaml";

import * as catalogue from "../../../src/catalogue/index.js";
import type * as types from "../../types.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import * as waitUntil from "../waitUntil/index.js";

/** Folder of the files that `file` names, relative to the working directory. */
const ENTRIES_FOLDER = "scenarios/entries";

/** Changes items as an operator, each based on the newest or on a superseded revision. */
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
    if (outcome !== step.expect)
      throw new Error(`${item.kind}/${item.name}: expected ${step.expect}, found ${outcome}`);
  }
  if (step.expect === "accepted" && step.waitForAll) await waitUntilInForce(run, step.timeoutMs);
}

/** Sets an engine to draining and waits until this is in force on all running VMs. */
export async function drain(
  run: scenarioRuns.ScenarioRun,
  step: types.StepOf<"drain">,
): Promise<void> {
  const items = await run.adminOf(run.vmAt(undefined)).listItems();
  const engine = items.find(
    ({ item }) => item.kind === catalogue.ItemKind.Engine && item.name === step.engine,
  )?.item;
  if (engine?.kind !== catalogue.ItemKind.Engine)
    throw new Error(`the catalogue has no engine ${step.engine}`);
  const drained = { ...engine, state: catalogue.DesiredState.Draining };
  const outcome = await changeItem(run, { operator: "operator", base: "current" }, drained);
  if (outcome !== "accepted") throw new Error(`engine/${step.engine}: ${outcome}`);
  await waitUntilInForce(run, step.timeoutMs);
}

function readEntries(file: string): Promise<string> {
  return fs.readFile(path.join(ENTRIES_FOLDER, file), "utf8");
}

/** Waits until all running VMs have applied the highest offset that any of them has applied. */
export async function waitUntilInForce(
  run: scenarioRuns.ScenarioRun,
  timeoutMs: number,
): Promise<void> {
  const offsets = (): number[] =>
    run.runningVms().map((vm) => vm.getDaemon().catalogue.appliedOffset);
  const highest = Math.max(-1, ...offsets());
  await waitUntil.waitUntil(
    () => offsets().every((offset) => offset >= highest),
    timeoutMs,
    () => `applied offsets are ${offsets().join(", ")}, expected ${highest}`,
  );
}

/** The VM, operator and base revision of a change. */
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
  const baseRevision = step.base === "stale" ? (run.lastBaseRevisions.get(key) ?? null) : newest;
  run.lastBaseRevisions.set(key, baseRevision);
  const changeId = `${step.operator}-${key}-${baseRevision ?? "new"}`;
  try {
    await admin.proposeChange({ changeId, kind, name, baseRevision, item });
    return "accepted";
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return /conflict|revision/i.test(message) ? "conflict" : message;
  }
}
