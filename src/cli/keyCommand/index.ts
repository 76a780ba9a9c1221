import * as crypto from "node:crypto";

import type * as commander from "commander";

import * as http from "../../http/index.js";
import type * as types from "../types.js";

/** Random bytes in a new key. */
const KEY_BYTES = 32;

/** `chiveferry key new`: makes a key for a client account or an operator. */
export function addKeyCommand(program: commander.Command, context: types.CliContext): void {
  program
    .command("key")
    .description("make keys")
    .command("new")
    .description("print a new key and the hash to store; the key is stored nowhere")
    .action(() => {
      const key = crypto.randomBytes(KEY_BYTES).toString("base64url");
      context.writeOut(`key:  ${key}\nhash: ${http.hashKey(key)}\n`);
    });
}
