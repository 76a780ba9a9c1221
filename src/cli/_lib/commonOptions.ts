import type * as commander from "commander";

import * as constants from "../constants.js";
import type * as types from "../types.js";

/** Adds the options by which a command finds its daemon. */
export function addCommonOptions(
  command: commander.Command,
  context: types.CliContext,
): commander.Command {
  const adminUrl = context.environment.CHIVEFERRY_ADMIN ?? constants.DEFAULT_ADMIN_URL;
  return command
    .option("--admin <url>", "admin port of any daemon (CHIVEFERRY_ADMIN)", adminUrl)
    .option("--key-file <file>", "file with the operator's key (or CHIVEFERRY_KEY)")
    .option("--ca-file <file>", "certificates to trust, PEM")
    .option("--json", "print JSON");
}
