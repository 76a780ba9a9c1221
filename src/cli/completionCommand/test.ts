import * as fs from "node:fs/promises";

import type * as commander from "commander";
import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as programs from "../createProgram/index.js";
import type * as types from "../types.js";

const PAGES = ["README.md", "CONTRIBUTING.md", "docs/OPERATIONS.md", "docs/API.md"];

const CONTEXT: types.CliContext = {
  clock: new clocks.SystemClock(),
  environment: {},
  writeOut: () => undefined,
  writeErr: () => undefined,
  createClient: () => Promise.reject(new Error("no command is run")),
};

/** Reads the command lines in the documentation, as the words after the program's name. */
async function readShownCommands(): Promise<readonly (readonly string[])[]> {
  const pages = await Promise.all(PAGES.map((page) => fs.readFile(page, "utf8")));
  const pattern = /(?:^ {4}|`)(?:node build\/src\/cli\/main\.js|chiveferry) ([^`#\n]+)/gm;
  return pages.flatMap((page) =>
    [...page.matchAll(pattern)].map(([, line = ""]) => line.trim().split(/\s+/)),
  );
}

/** Finds the command that a command line names, and the words after it. */
function findCommand(
  root: commander.Command,
  words: readonly string[],
): { readonly command: commander.Command; readonly remainingWords: readonly string[] } {
  const [first] = words;
  const child = root.commands.find((command) => command.name() === first);
  return child === undefined
    ? { command: root, remainingWords: words }
    : findCommand(child, words.slice(1));
}

tap.test("every command and option in the documentation exists", async (t) => {
  const shown = await readShownCommands();
  t.ok(shown.length > 20);
  const program = programs.createProgram(CONTEXT);
  for (const words of shown) {
    const { command, remainingWords } = findCommand(program, words);
    t.not(command, program, words.join(" "));
    const known = new Set(command.options.map((option) => option.long));
    for (const option of remainingWords.filter((word) => word.startsWith("--"))) {
      t.ok(known.has(option), `${words.join(" ")}: ${option}`);
    }
  }
});
