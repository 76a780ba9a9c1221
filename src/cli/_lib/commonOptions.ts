import type * as commander from "commander";

import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Adds the options that select a daemon and authenticate to it, and the output format. */
export function addCommonOptions(
  command: commander.Command,
  context: types.CliContext,
): commander.Command {
  const adminUrl = context.environment.CHIVEFERRY_ADMIN ?? constants.DEFAULT_ADMIN_URL;
  return command
    .option("--admin <url>", "URL of the admin port of any daemon (or CHIVEFERRY_ADMIN)", adminUrl)
    .option("--key-file <file>", "file with the operator's key (or CHIVEFERRY_KEY)")
    .option("--ca-file <file>", "file with trusted certificates, PEM")
    .option("--json", "print the result as JSON");
}
