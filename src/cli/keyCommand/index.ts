import * as crypto from "node:crypto";

import type * as commander from "commander";

import * as http from "../../http/index.js";
import type * as types from "../types.js";

/** Length of a new key before encoding. */
const KEY_BYTES = 32;

/** Adds `chiveferry key new`: generates a key for a client account or an operator. */
export function addKeyCommand(program: commander.Command, context: types.CliContext): void {
  program
    .command("key")
    .description("generate keys")
    .command("new")
    .description(
      "print a new random key and its hash for the catalogue or settings; neither is stored",
    )
    .action(() => {
      const key = crypto.randomBytes(KEY_BYTES).toString("base64url");
      context.writeOut(`key:  ${key}\nhash: ${http.hashKey(key)}\n`);
    });
}
