import * as fs from "node:fs/promises";

import * as neverthrow from "neverthrow";

import * as parseSettings from "../parseSettings/index.js";
import type * as types from "../types.js";

/**
 * Reads and checks a settings file.
 *
 * @returns the settings with defaults filled in, or every mistake at once; a file that cannot be
 * read is one mistake
 */
export async function loadSettings(
  path: string,
): Promise<neverthrow.Result<types.Settings, readonly types.SettingsProblem[]>> {
  let text: string;
  try {
    text = await fs.readFile(path, "utf8");
  } catch (error) {
    return neverthrow.err([unreadableProblem(path, error)]);
  }
  return parseSettings.parseSettings(text, path);
}

function unreadableProblem(path: string, error: unknown): types.SettingsProblem {
  const found = error instanceof Error ? error.message : String(error);
  return { fileName: path, line: 1, path: "", expected: "a readable file", found };
}
