import * as fs from "node:fs/promises";

import * as neverthrow from "neverthrow";

import * as parseSettings from "../parseSettings/index.js";
import type * as types from "../types.js";

/**
 * Reads and validates a settings file.
 *
 * @param path - path of the YAML file
 * @returns the settings with defaults applied, or all problems; a file that cannot be read is one
 * problem
 */
export async function loadSettings(
  path: string,
): Promise<neverthrow.Result<types.Settings, readonly types.SettingsProblem[]>> {
  let text: string;
  try {
    text = await fs.readFile(path, "utf8");
  } catch (error) {
    return neverthrow.err([createUnreadableProblem(path, error)]);
  }
  return parseSettings.parseSettings(text, path);
}

function createUnreadableProblem(path: string, error: unknown): types.SettingsProblem {
  const found = error instanceof Error ? error.message : String(error);
  return { fileName: path, line: 1, path: "", expected: "a readable file", found };
}
