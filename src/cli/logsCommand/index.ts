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

Lines that contain no decision are skipped and counted. Exit codes: 0 found, 2 invalid input,
4 not found in the files.`;

interface AtOption {
  readonly at?: string;
}

/** Adds `chiveferry logs`: reconstructs requests and the VMs' views from decision logs alone. */
export function addLogsCommand(program: commander.Command, context: types.CliContext): void {
  const group = program
    .command("logs")
    .description("read the decision logs of one or several VMs")
    .addHelpText("after", EXAMPLES);
  group
    .command("request <id> <files...>")
    .description("show the history of a request in order, its outcome and the cause")
    .action((id: string, files: readonly string[]) => showRequest(context, id, files));
  group
    .command("unserved <files...>")
    .description("list all requests that were not served, each with the cause")
    .action((files: readonly string[]) => showUnserved(context, files));
  group
    .command("server <id> <files...>")
    .option("--at <time>", "point in time, ISO 8601 (default: the end of the logs)")
    .description("show each VM's last logged view of a backend server")
    .action((id: string, files: readonly string[], options: AtOption) =>
      showServer(context, id, files, options),
    );
  group
    .command("configuration <files...>")
    .option("--at <time>", "point in time, ISO 8601 (default: the end of the logs)")
    .description("show the configuration that each VM had in force")
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
  if (explanation === null) throw createNotFoundError(`no log line names request ${requestId}`);
  const history = logReading.findRequestHistory(lines, requestId);
  context.writeOut(`${history.map(formatLine).join("\n")}\n`);
  context.writeOut(`${explanation.outcome}: ${explanation.cause}\n`);
  const attempts = logReading.findStreamAttempts(lines, requestId);
  if (attempts.length < 2) return;
  context.writeOut("requests of this stream, each after the last event that its caller had:\n");
  for (const { requestId: id, vmName, atMs, lastEventId } of attempts)
    context.writeOut(
      `${new Date(atMs).toISOString()} ${vmName} ${id} after event ${lastEventId}\n`,
    );
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
  showViews(context, logReading.findServerViewsAt(lines, serverId, atMs), `server ${serverId}`);
}

async function showConfiguration(
  context: types.CliContext,
  files: readonly string[],
  options: AtOption,
): Promise<void> {
  const atMs = parseTime(options);
  const lines = await readLines(context, files);
  showViews(context, logReading.findConfigurationViewsAt(lines, atMs), "a configuration");
}

function showViews(
  context: types.CliContext,
  views: readonly logReading.VmView[],
  subject: string,
): void {
  if (views.length === 0) throw createNotFoundError(`no VM had logged a view of ${subject}`);
  context.writeOut(`${views.map(({ line }) => formatLine(line)).join("\n")}\n`);
}

async function readLines(
  context: types.CliContext,
  files: readonly string[],
): Promise<readonly logReading.LogLine[]> {
  const lines: logReading.LogLine[] = [];
  let skippedCount = 0;
  for (const file of files) {
    const content = await readFile(file);
    for (const text of content.split("\n")) {
      if (text.trim() === "") continue;
      const line = logReading.parseLogLine(text, lines.length);
      if (line === null) skippedCount += 1;
      else lines.push(line);
    }
  }
  if (skippedCount > 0) {
    context.writeErr(`${skippedCount} lines contain no decision and were skipped\n`);
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
    throw new cliErrors.CliError(
      `--at: expected an ISO 8601 time, found "${at}"`,
      constants.ExitCode.Usage,
    );
  }
  return atMs;
}

function createNotFoundError(message: string): cliErrors.CliError {
  return new cliErrors.CliError(message, constants.ExitCode.NotFound);
}

function formatLine({ atMs, vmName, event, fields }: logReading.LogLine): string {
  const details = Object.entries(fields)
    .filter(([, value]) => value !== null && value !== undefined)
    .map(([name, value]) => `${name}=${String(value)}`);
  return [new Date(atMs).toISOString(), vmName, event, ...details].join(" ");
}
