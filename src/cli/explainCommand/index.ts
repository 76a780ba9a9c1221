import type * as commander from "commander";

import type * as http from "../../http/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as commonOptions from "../_lib/commonOptions.js";
import * as output from "../_lib/output.js";
import * as constants from "../constants.js";
import * as traces from "../renderTrace/index.js";
import type * as types from "../types.js";

/** Adds `chiveferry explain`: shows the decisions about a request, or the state of an engine. */
export function addExplainCommand(program: commander.Command, context: types.CliContext): void {
  const group = program.command("explain").description("explain the decisions of the fleet");
  commonOptions
    .addCommonOptions(group.command("request <id>", { isDefault: true }), context)
    .description("show the decisions about a request, gathered from the VMs that hold its record")
    .action((id: string, options: types.CommonOptions) => explainRequest(context, id, options));
  commonOptions
    .addCommonOptions(group.command("engine <name>"), context)
    .description("show the memory and runs of an engine, and why it takes or refuses work")
    .action((name: string, options: types.CommonOptions) => explainEngine(context, name, options));
}

async function explainRequest(
  context: types.CliContext,
  requestId: string,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const trace = await client.explainRequest(requestId);
  output.warnOfMissingVms(context, trace.missingVms);
  if (trace.value.length === 0) {
    const message = `no VM holds decisions about request ${requestId}`;
    throw new cliErrors.CliError(message, constants.ExitCode.NotFound);
  }
  output.writeResult(context, options, trace, () => traces.renderTrace(trace.value));
}

async function explainEngine(
  context: types.CliContext,
  name: string,
  options: types.CommonOptions,
): Promise<void> {
  const client = await context.createClient(options);
  const engine = await client.explainEngine(name);
  output.writeResult(context, options, engine, () => formatEngine(engine));
}

function formatEngine({ view, home, refusalReason, runs }: http.EngineExplanation): string {
  const verdict = refusalReason === null ? "takes work" : `takes no work: ${refusalReason}`;
  const reservedTokens = Math.round(view.reservedTokens);
  const lines = [
    `${view.name} (home ${home}, ${view.health}): ${verdict}`,
    `memory: ${reservedTokens} reserved of ${view.capacityTokens} tokens`,
    `step time: ${view.stepTimeMs.toFixed(1)} ms`,
  ];
  const rows = runs.map((run) => [
    run.requestId,
    run.entryName,
    run.ownerVm,
    run.producedTokens,
    output.formatDuration(run.silentMs),
    run.isPreempted ? "preempted" : "runs",
  ]);
  const headings = ["REQUEST", "ENTRY", "VM", "PRODUCED", "SILENT FOR", "STATE"];
  return `${lines.join("\n")}\n${output.formatTable(headings, rows)}`;
}
