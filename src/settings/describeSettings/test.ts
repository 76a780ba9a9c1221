import * as fs from "node:fs";

import tap from "tap";

import type * as types from "../types.js";
import * as describeSettings from "./index.js";

function formatRow(field: types.SettingDescription): string {
  const defaultText = field.defaultText === null ? "" : `\`${field.defaultText}\``;
  const requirement = field.isRequired ? "required" : defaultText;
  return `| \`${field.path}\` | ${field.type} | ${requirement} | ${field.description} |`;
}

tap.test("the settings page lists exactly the fields of the schema", (t) => {
  const page = fs.readFileSync("docs/SETTINGS.md", "utf8");
  const rows = page
    .split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.replace(/\s+\|/g, " |").replace(/\|\s+/g, "| "));
  t.same(
    rows,
    describeSettings.describeSettings().map((field) => formatRow(field).replace(/\|\s+/g, "| ")),
  );
  t.end();
});

tap.test("every field has a description", (t) => {
  for (const field of describeSettings.describeSettings()) {
    t.not(field.description, "", field.path);
  }
  t.end();
});
