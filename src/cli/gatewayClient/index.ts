import Wreck from "@hapi/wreck";
import * as zod from "zod";

import * as cliErrors from "../_lib/cliError.js";
import * as constants from "../constants.js";

/** Largest answer of a gateway's operators' port. */
const MAX_ANSWER_BYTES = 4 * 1024 * 1024;

/**
 * Asks a gateway at its operators' port.
 *
 * @param address - host and port, joined by a colon
 * @param target - path and query
 * @throws CliError if the gateway does not answer, or its answer does not have the expected form
 */
export async function readGateway<Schema extends zod.ZodType>(
  address: string,
  target: string,
  schema: Schema,
): Promise<zod.infer<Schema>> {
  const parsed = schema.safeParse(await readJson(`http://${address}${target}`));
  if (parsed.success) return parsed.data;
  throw createError(address, zod.prettifyError(parsed.error));
}

async function readJson(url: string): Promise<unknown> {
  try {
    const { payload } = await Wreck.get<Buffer>(url, {
      timeout: constants.ADMIN_TIMEOUT_MS,
      maxBytes: MAX_ANSWER_BYTES,
    });
    return JSON.parse(payload.toString());
  } catch (error) {
    throw createError(url, error instanceof Error ? error.message : "unknown error");
  }
}

function createError(place: string, reason: string): cliErrors.CliError {
  const message = `gateway at ${place}: ${reason}`;
  return new cliErrors.CliError(message, constants.ExitCode.Unavailable);
}
