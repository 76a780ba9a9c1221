import * as fs from "node:fs/promises";

import * as clocks from "../../_lib/clock/index.js";
import * as adminClients from "../adminClient/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";
import * as cliErrors from "./cliError.js";

/** Creates the context of the `chiveferry` process: its streams, environment and system clock. */
export function createContext(process: NodeJS.Process): types.CliContext {
  return {
    clock: new clocks.SystemClock(),
    environment: process.env,
    writeOut: (text) => void process.stdout.write(text),
    writeErr: (text) => void process.stderr.write(text),
    createClient: async (options) =>
      new adminClients.AdminClient({
        url: options.admin.replace(/\/+$/, ""),
        key: await readKey(options, process.env.CHIVEFERRY_KEY),
        ...(options.caFile === undefined ? {} : { ca: await readFile(options.caFile) }),
      }),
  };
}

async function readKey(
  options: types.CommonOptions,
  environmentKey: string | undefined,
): Promise<string> {
  if (options.keyFile !== undefined) return (await readFile(options.keyFile)).trim();
  if (environmentKey !== undefined && environmentKey !== "") return environmentKey;
  const message = "no operator key: pass --key-file or set CHIVEFERRY_KEY";
  throw new cliErrors.CliError(message, constants.ExitCode.Forbidden);
}

async function readFile(file: string): Promise<string> {
  try {
    return await fs.readFile(file, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : "unreadable";
    throw new cliErrors.CliError(`cannot read ${file}: ${reason}`, constants.ExitCode.Usage);
  }
}
