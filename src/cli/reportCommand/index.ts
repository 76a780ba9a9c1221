import * as fs from "node:fs/promises";

import type * as commander from "commander";

import * as telemetry from "../../telemetry/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as commonOptions from "../_lib/commonOptions.js";
import * as output from "../_lib/output.js";
import * as constants from "../constants.js";
import * as pages from "../renderBurnHtml/index.js";
import * as tables from "../renderBurnTable/index.js";
import type * as types from "../types.js";

interface BurnOptions extends types.CommonOptions {
  readonly html?: string;
  readonly owner?: string;
}

/** Adds `chiveferry report burn`: reports the burn rates of the entries' error budgets. */
export function addReportCommand(program: commander.Command, context: types.CliContext): void {
  const group = program.command("report").description("print reports on the whole fleet");
  commonOptions
    .addCommonOptions(group.command("burn"), context)
    .description("report error budget burn rates for each entry and owner, over several windows")
    .option("--html <file>", "also write a self-contained HTML page with plots")
    .option("--owner <name>", "report only the entries of this owner")
    .action((options: BurnOptions) => reportBurn(context, options));
}

async function reportBurn(context: types.CliContext, options: BurnOptions): Promise<void> {
  const client = await context.createClient(options);
  const burn = await client.gatherBurn();
  output.warnOfMissingVms(context, burn.missingVms);
  const series = telemetry
    .mergeBurn([burn.value])
    .filter((item) => options.owner === undefined || item.owner === options.owner);
  if (options.html !== undefined) {
    await writePage(options.html, series, {
      generatedAtWallMs: context.clock.wallTimeMs(),
      missingVms: burn.missingVms,
    });
  }
  const value = { series, missingVms: burn.missingVms };
  output.writeResult(context, options, value, () => tables.renderBurnTable(series));
}

async function writePage(
  file: string,
  series: readonly telemetry.BurnSeries[],
  options: pages.BurnReportOptions,
): Promise<void> {
  try {
    await fs.writeFile(file, pages.renderBurnHtml(series, options));
  } catch (error) {
    const reason = error instanceof Error ? error.message : "unknown error";
    throw new cliErrors.CliError(`cannot write ${file}: ${reason}`, constants.ExitCode.Failure);
  }
}
