import * as neverthrow from "neverthrow";

import * as yamlFile from "../../src/_lib/yamlFile/index.js";
import * as schema from "../_lib/schema/index.js";
import type * as types from "../types.js";

/**
 * Parses and validates the text of a scenario file.
 *
 * @returns the scenario, or all errors, each with its file and line
 */
export function parseScenario(
  text: string,
  fileName: string,
): neverthrow.Result<types.ParsedScenario, readonly yamlFile.YamlProblem[]> {
  return yamlFile
    .parseYaml(text, fileName, schema.scenarioSchema)
    .map((scenario) => ({ fileName, scenario }));
}
