import type * as neverthrow from "neverthrow";

import * as yamlFile from "../../_lib/yamlFile/index.js";
import * as schema from "../_lib/schema/index.js";
import type * as types from "../types.js";

/**
 * Checks the text of a settings file.
 *
 * @param fileName - the name that problems are reported under
 * @returns the settings with defaults filled in, or every mistake at once
 */
export function parseSettings(
  text: string,
  fileName: string,
): neverthrow.Result<types.Settings, readonly types.SettingsProblem[]> {
  return yamlFile.parseYaml(text, fileName, schema.settingsSchema);
}
