import type * as commander from "commander";

import * as settings from "../../settings/index.js";
import * as cliErrors from "../_lib/cliError.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Adds `chiveferry settings check`: validates a daemon's settings file. */
export function addSettingsCommand(program: commander.Command, context: types.CliContext): void {
  program
    .command("settings")
    .description("validate the settings of a daemon")
    .command("check <file>")
    .description("report all errors in a settings file")
    .action(async (file: string) => {
      const loaded = await settings.loadSettings(file);
      if (loaded.isErr()) {
        const message = settings.formatSettingsErrors(loaded.error);
        throw new cliErrors.CliError(message, constants.ExitCode.InvalidSettings);
      }
      context.writeOut(`${file}: settings of VM ${loaded.value.vm.name} are valid\n`);
    });
}
