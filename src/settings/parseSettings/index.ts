import type * as neverthrow from "neverthrow";

import * as yamlFile from "../../_lib/yamlFile/index.js";
import * as schema from "../_lib/schema/index.js";
import type * as types from "../types.js";

/**
 * Parses and validates the text of a settings file.
 *
 * @param text - the YAML text
 * @param fileName - the file name that problems contain
 * @returns the settings with defaults applied, or all problems
 */
export function parseSettings(
  text: string,
  fileName: string,
): neverthrow.Result<types.Settings, readonly types.SettingsProblem[]> {
  return yamlFile.parseYaml(text, fileName, schema.settingsSchema);
}
