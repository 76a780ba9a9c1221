import * as yamlFile from "../../_lib/yamlFile/index.js";
import type * as types from "../types.js";

/** Text of all mistakes, one a line, in the order of the file. */
export function formatSettingsErrors(problems: readonly types.SettingsProblem[]): string {
  return problems.map((problem) => yamlFile.formatYamlProblem(problem)).join("\n");
}
