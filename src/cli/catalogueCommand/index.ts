import * as fs from "node:fs/promises";

import type * as commander from "commander";
import * as yaml from "yaml";

import * as catalogue from "../../catalogue/index.js";
import type * as http from "../../http/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as commonOptions from "../_lib/commonOptions.js";
import * as itemDiffs from "../_lib/itemDiff.js";
import * as output from "../_lib/output.js";
import * as planning from "../_lib/planChanges.js";
import * as rollouts from "../_lib/waitUntilInForce.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const MS_PER_SECOND = 1_000;

interface ApplyOptions extends types.CommonOptions {
  readonly dryRun?: boolean;
  readonly wait?: string;
  readonly expectRevision?: string;
}

interface AppliedChange {
  readonly kind: string;
  readonly name: string;
  readonly revision: number;
}

/** Adds `chiveferry catalogue`: reads and changes the catalogue. */
export function addCatalogueCommand(program: commander.Command, context: types.CliContext): void {
  const group = program.command("catalogue").description("read and change the catalogue");
  commonOptions
    .addCommonOptions(group.command("apply <file>"), context)
    .description("create or replace the items in a YAML file")
    .option("--dry-run", "print the changes without making them")
    .option("--wait <seconds>", "wait at most this long until every VM has the changes in force")
    .option("--expect-revision <number>", "fail unless each changed item is at this revision")
    .action((file: string, options: ApplyOptions) => applyFile(context, file, options));
  commonOptions
    .addCommonOptions(group.command("get [kind] [name]"), context)
    .description("print items as YAML, each with its revision")
    .action((kind: string | undefined, name: string | undefined, options: types.CommonOptions) =>
      getItems(context, kind, name, options),
    );
  commonOptions
    .addCommonOptions(group.command("remove <kind> <name>"), context)
    .description("remove an item")
    .action((kind: string, name: string, options: types.CommonOptions) =>
      removeItem(context, kind, name, options),
    );
  commonOptions
    .addCommonOptions(group.command("history <kind> <name>"), context)
    .description("print the changes to an item, as far as the log retains them")
    .action((kind: string, name: string, options: types.CommonOptions) =>
      printHistory(context, kind, name, options),
    );
  commonOptions
    .addCommonOptions(group.command("diff <file>"), context)
    .description("show how the items in a file differ from the catalogue")
    .action((file: string, options: types.CommonOptions) => printDiff(context, file, options));
  commonOptions
    .addCommonOptions(group.command("status [revision]"), context)
    .description("show which VMs have a revision in force (the newest one by default)")
    .action((revision: string | undefined, options: types.CommonOptions) =>
      printStatus(context, revision, options),
    );
}

async function applyFile(
  context: types.CliContext,
  file: string,
  options: ApplyOptions,
): Promise<void> {
  const expectedRevision = parseCount(options.expectRevision, "--expect-revision");
  const waitSeconds = parseCount(options.wait, "--wait");
  const desired = await readItems(file);
  const client = await context.createClient(options);
  const changes = planning.planChanges(
    await client.listItems(),
    desired,
    expectedRevision === undefined ? {} : { expectedRevision },
  );
  if (options.dryRun === true) {
    output.writeResult(context, options, changes, () => itemDiffs.formatPlan(changes));
    return;
  }
  const applied: AppliedChange[] = [];
  for (const { change } of changes) {
    const { revision } = await client.proposeChange(change);
    applied.push({ kind: change.kind, name: change.name, revision });
  }
  const revision = Math.max(-1, ...applied.map((item) => item.revision));
  const rollout =
    waitSeconds === undefined
      ? rollouts.splitByAppliedRevision((await client.listNodes()).value, revision)
      : await rollouts.waitUntilInForce(context, client, revision, waitSeconds * MS_PER_SECOND);
  output.writeResult(context, options, { applied, ...rollout }, () =>
    formatApplied(applied, rollout),
  );
  if (waitSeconds !== undefined && rollout.notYet.length > 0) {
    const message = `not in force after ${waitSeconds} s on: ${rollout.notYet.join(", ")}`;
    throw new cliErrors.CliError(message, constants.ExitCode.Failure);
  }
}

async function getItems(
  context: types.CliContext,
  kind: string | undefined,
  name: string | undefined,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const wanted = [kind ?? [], name ?? []].flat().join("/");
  const items = (await client.listItems()).filter(({ item }) => {
    const key = `${item.kind}/${item.name}`;
    return name === undefined ? key.startsWith(wanted) : key === wanted;
  });
  if (name !== undefined && items.length === 0) throw createNotFoundError(kind ?? "", name);
  output.writeResult(context, options, items, () => formatItems(items));
}

async function removeItem(
  context: types.CliContext,
  kind: string,
  name: string,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const known = planning.findItem(await client.listItems(), kind, name);
  if (known === undefined) throw createNotFoundError(kind, name);
  const { change } = planning.planRemoval(known);
  const accepted = await client.proposeChange(change);
  output.writeResult(
    context,
    options,
    accepted,
    () => `removed ${kind}/${name} at revision ${accepted.revision}\n`,
  );
}

async function printHistory(
  context: types.CliContext,
  kind: string,
  name: string,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const history = await client.readHistory(kind, name);
  output.writeResult(context, options, history, () => formatHistory(history));
}

async function printDiff(
  context: types.CliContext,
  file: string,
  options: types.CommonOptions,
): Promise<void> {
  const desired = await readItems(file);
  const client = await context.createClient(options);
  const changes = planning.planChanges(await client.listItems(), desired);
  output.writeResult(context, options, changes, () => itemDiffs.formatPlan(changes));
}

async function printStatus(
  context: types.CliContext,
  revisionText: string | undefined,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const newest = Math.max(-1, ...(await client.listItems()).map((item) => item.revision));
  const revision = parseCount(revisionText, "revision") ?? newest;
  const nodes = await client.listNodes();
  const status = rollouts.splitByAppliedRevision(nodes.value, revision);
  output.writeResult(context, options, status, () => formatRollout(status));
}

async function readItems(file: string): Promise<readonly catalogue.CatalogueItem[]> {
  let text: string;
  try {
    text = await fs.readFile(file, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : "unreadable";
    throw new cliErrors.CliError(`cannot read ${file}: ${reason}`, constants.ExitCode.Usage);
  }
  const parsed = catalogue.parseCatalogueDocument(text);
  if (parsed.isOk()) return parsed.value;
  const messages = parsed.error.map(
    (issue) => `${file}:${issue.line}: ${issue.path}: ${issue.message}`,
  );
  throw new cliErrors.CliError(messages.join("\n"), constants.ExitCode.Usage);
}

function parseCount(text: string | undefined, optionName: string): number | undefined {
  if (text === undefined) return undefined;
  if (/^\d{1,12}$/.test(text)) return Number(text);
  const message = `${optionName}: expected a whole number, found "${text}"`;
  throw new cliErrors.CliError(message, constants.ExitCode.Usage);
}

function createNotFoundError(kind: string, name: string): cliErrors.CliError {
  const message = `the catalogue has no item ${kind}/${name}`;
  return new cliErrors.CliError(message, constants.ExitCode.NotFound);
}

function formatApplied(applied: readonly AppliedChange[], rollout: rollouts.RolloutStatus): string {
  if (applied.length === 0) return "nothing to change\n";
  const lines = applied.map((item) => `accepted ${item.kind}/${item.name} at ${item.revision}\n`);
  return lines.join("") + formatRollout(rollout);
}

function formatRollout(status: rollouts.RolloutStatus): string {
  const list = (names: readonly string[]): string => (names.length === 0 ? "-" : names.join(", "));
  return `revision ${status.revision}\nin force on: ${list(status.inForce)}\nnot yet on:  ${list(status.notYet)}\n`;
}

function formatItems(items: readonly catalogue.RevisedItem[]): string {
  return items
    .map(({ item, revision }) => `# revision ${revision}\n${yaml.stringify(item)}`)
    .join("---\n");
}

function formatHistory(history: readonly http.HistoryLine[]): string {
  const rows = history.map((line) => [
    line.offset,
    new Date(line.atWallMs).toISOString(),
    line.operator,
    line.baseRevision ?? "new",
    line.changeId,
  ]);
  return output.formatTable(["OFFSET", "AT", "OPERATOR", "BUILDS ON", "CHANGE"], rows);
}
