import * as commander from "commander";

import * as catalogueCommand from "../catalogueCommand/index.js";
import * as completionCommand from "../completionCommand/index.js";
import * as constants from "../constants.js";
import * as cliErrors from "../_lib/cliError.js";
import * as evacuationsCommand from "../evacuationsCommand/index.js";
import * as explainCommand from "../explainCommand/index.js";
import * as fleetCommands from "../fleetCommands/index.js";
import * as keyCommand from "../keyCommand/index.js";
import * as logsCommand from "../logsCommand/index.js";
import * as reportCommand from "../reportCommand/index.js";
import * as settingsCommand from "../settingsCommand/index.js";
import type * as types from "../types.js";

const EXAMPLES = `
Examples:
  chiveferry catalogue apply draft.yaml --wait 7
  chiveferry explain 0193a5c2-...
  chiveferry logs request 9c41d07be2a35f68 edge-*.log
  chiveferry report burn --html burn.html
  chiveferry drain engine tln-a-engine-1

Exit codes: 0 success, 1 failure, 2 invalid input, 3 another operator changed the item first,
4 not found, 69 daemon unreachable, 77 key rejected, 78 invalid settings`;

/** Runs a command line and returns its exit code. A failure is reported to standard error. */
export async function runProgram(
  args: readonly string[],
  context: types.CliContext,
): Promise<constants.ExitCode> {
  try {
    await createProgram(context).parseAsync([...args], { from: "user" });
    return constants.ExitCode.Ok;
  } catch (error) {
    return reportFailure(error, context);
  }
}

/** Creates the `chiveferry` command with all subcommands. */
export function createProgram(context: types.CliContext): commander.Command {
  const program = new commander.Command("chiveferry")
    .description("inspects and operates a fleet of chiveferry daemons")
    .addHelpText("after", EXAMPLES)
    .showHelpAfterError("(add --help for usage)");
  catalogueCommand.addCatalogueCommand(program, context);
  explainCommand.addExplainCommand(program, context);
  logsCommand.addLogsCommand(program, context);
  reportCommand.addReportCommand(program, context);
  fleetCommands.addFleetCommands(program, context);
  evacuationsCommand.addEvacuationsCommand(program, context);
  settingsCommand.addSettingsCommand(program, context);
  keyCommand.addKeyCommand(program, context);
  completionCommand.addCompletionCommand(program, context);
  configureOutput(program, context);
  return program;
}

function configureOutput(command: commander.Command, context: types.CliContext): void {
  command.exitOverride();
  command.configureOutput({
    writeOut: (text) => context.writeOut(text),
    writeErr: (text) => context.writeErr(text),
  });
  for (const child of command.commands) configureOutput(child, context);
}

function reportFailure(error: unknown, context: types.CliContext): constants.ExitCode {
  if (error instanceof commander.CommanderError) {
    return error.exitCode === 0 ? constants.ExitCode.Ok : constants.ExitCode.Usage;
  }
  if (error instanceof cliErrors.CliError) {
    context.writeErr(`${error.message}\n`);
    return error.exitCode;
  }
  const message = error instanceof Error ? error.message : "unknown failure";
  context.writeErr(`internal error: ${message}\n`);
  return constants.ExitCode.Failure;
}
