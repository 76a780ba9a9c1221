import * as neverthrow from "neverthrow";

import * as yamlFile from "../../src/_lib/yamlFile/index.js";
import * as schema from "../_lib/schema/index.js";
import type * as types from "../types.js";

/**
 * Checks a scenario before anything is started.
 *
 * @returns the scenario, or every mistake with its file and line
 */
export function parseScenario(
  text: string,
  fileName: string,
): neverthrow.Result<types.ParsedScenario, readonly yamlFile.YamlProblem[]> {
  return yamlFile
    .parseYaml(text, fileName, schema.scenarioSchema)
    .map((scenario) => ({ fileName, scenario }));
}
