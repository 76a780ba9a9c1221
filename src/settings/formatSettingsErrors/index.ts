import * as yamlFile from "../../_lib/yamlFile/index.js";
import type * as types from "../types.js";

/** Formats problems of a settings file, one per line, in the given order. */
export function formatSettingsErrors(problems: readonly types.SettingsProblem[]): string {
  return problems.map((problem) => yamlFile.formatYamlProblem(problem)).join("\n");
}
