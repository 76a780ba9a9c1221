import * as fs from "node:fs/promises";

import type * as commander from "commander";

import * as logReading from "../../logReading/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as output from "../_lib/output.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const EXAMPLES = `
Examples:
  chiveferry logs request 9c41d07be2a35f68 edge-*.log
  chiveferry logs unserved edge-*.log
  chiveferry logs server i-7f3a91c2 --at 2026-11-04T07:30:05Z edge-*.log
  chiveferry logs configuration --at 2026-11-04T07:30:05Z edge-*.log

Lines that hold no decision are passed over and counted. Exit codes: 0 found, 2 wrong input,
4 nothing in the files names it.`;

interface AtOption {
  readonly at?: string;
}

/** `chiveferry logs`: what happened to a request, and what VMs believed, from their logs alone. */
export function addLogsCommand(program: commander.Command, context: types.CliContext): void {
  const group = program
    .command("logs")
    .description("read the decision logs of one or several VMs")
    .addHelpText("after", EXAMPLES);
  group
    .command("request <id> <files...>")
    .description("a request's history, in order, and the cause of its end")
    .action((id: string, files: readonly string[]) => showRequest(context, id, files));
  group
    .command("unserved <files...>")
    .description("all requests that were not served, each with its cause")
    .action((files: readonly string[]) => showUnserved(context, files));
  group
    .command("server <id> <files...>")
    .option("--at <time>", "point in time, ISO 8601; the end of the logs where it is left out")
    .description("what each VM last noted of a backend server")
    .action((id: string, files: readonly string[], options: AtOption) =>
      showServer(context, id, files, options),
    );
  group
    .command("configuration <files...>")
    .option("--at <time>", "point in time, ISO 8601; the end of the logs where it is left out")
    .description("which configuration each VM had in force")
    .action((files: readonly string[], options: AtOption) =>
      showConfiguration(context, files, options),
    );
}

async function showRequest(
  context: types.CliContext,
  requestId: string,
  files: readonly string[],
): Promise<void> {
  const lines = await readLines(context, files);
  const explanation = logReading.explainRequest(lines, requestId);
  if (explanation === null) throw notFound(`no line names request ${requestId}`);
  const history = logReading.findRequestHistory(lines, requestId);
  context.writeOut(`${history.map(formatLine).join("\n")}\n`);
  context.writeOut(`${explanation.outcome}: ${explanation.cause}\n`);
}

async function showUnserved(context: types.CliContext, files: readonly string[]): Promise<void> {
  const unserved = logReading.explainUnservedRequests(await readLines(context, files));
  const rows = unserved.map(({ requestId, outcome, cause }) => [requestId, outcome, cause]);
  context.writeOut(output.formatTable(["REQUEST", "OUTCOME", "CAUSE"], rows));
  const explainedCount = unserved.filter(({ isExplained }) => isExplained).length;
  context.writeErr(`${explainedCount} of ${unserved.length} have a cause in these logs\n`);
}

async function showServer(
  context: types.CliContext,
  serverId: string,
  files: readonly string[],
  options: AtOption,
): Promise<void> {
  const atMs = parseTime(options);
  const lines = await readLines(context, files);
  showBeliefs(context, logReading.findServerViewsAt(lines, serverId, atMs), `server ${serverId}`);
}

async function showConfiguration(
  context: types.CliContext,
  files: readonly string[],
  options: AtOption,
): Promise<void> {
  const atMs = parseTime(options);
  const lines = await readLines(context, files);
  showBeliefs(context, logReading.findConfigurationViewsAt(lines, atMs), "a configuration");
}

function showBeliefs(
  context: types.CliContext,
  beliefs: readonly logReading.VmView[],
  subject: string,
): void {
  if (beliefs.length === 0) throw notFound(`no VM had noted anything of ${subject}`);
  context.writeOut(`${beliefs.map(({ line }) => formatLine(line)).join("\n")}\n`);
}

async function readLines(
  context: types.CliContext,
  files: readonly string[],
): Promise<readonly logReading.LogLine[]> {
  const lines: logReading.LogLine[] = [];
  let passedOverCount = 0;
  for (const file of files) {
    const content = await readFile(file);
    for (const text of content.split("\n")) {
      if (text.trim() === "") continue;
      const line = logReading.parseLogLine(text, lines.length);
      if (line === null) passedOverCount += 1;
      else lines.push(line);
    }
  }
  if (passedOverCount > 0) {
    context.writeErr(`${passedOverCount} lines hold no decision and were passed over\n`);
  }
  return lines;
}

async function readFile(file: string): Promise<string> {
  try {
    return await fs.readFile(file, "utf8");
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new cliErrors.CliError(`cannot read ${file}: ${message}`, constants.ExitCode.Usage);
  }
}

function parseTime({ at }: AtOption): number {
  if (at === undefined) return Infinity;
  const atMs = Date.parse(at);
  if (Number.isNaN(atMs)) {
    throw new cliErrors.CliError(`--at is no ISO 8601 time: ${at}`, constants.ExitCode.Usage);
  }
  return atMs;
}

function notFound(message: string): cliErrors.CliError {
  return new cliErrors.CliError(message, constants.ExitCode.NotFound);
}

function formatLine({ atMs, vmName, event, fields }: logReading.LogLine): string {
  const details = Object.entries(fields)
    .filter(([, value]) => value !== null && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [new Date(atMs).toISOString(), vmName, event, ...details].join(" ");
}
