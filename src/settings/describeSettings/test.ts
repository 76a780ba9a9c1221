import * as fs from "node:fs";

import tap from "tap";

import type * as types from "../types.js";
import * as describeSettings from "./index.js";

function rowOf(field: types.SettingDescription): string {
  const defaultText = field.defaultText === null ? "" : `\`${field.defaultText}\``;
  const need = field.isRequired ? "required" : defaultText;
  return `| \`${field.path}\` | ${field.type} | ${need} | ${field.description} |`;
}

tap.test("the page on settings lists exactly the fields of the schema", (t) => {
  const page = fs.readFileSync("docs/SETTINGS.md", "utf8");
  const rows = page
    .split("\n")
    .filter((line) => line.startsWith("| `"))
    .map((line) => line.replace(/\s+\|/g, " |").replace(/\|\s+/g, "| "));
  t.same(
    rows,
    describeSettings.describeSettings().map((field) => rowOf(field).replace(/\|\s+/g, "| ")),
  );
  t.end();
});

tap.test("every field has a description and a default or a need", (t) => {
  for (const field of describeSettings.describeSettings()) {
    t.not(field.description, "", field.path);
  }
  t.end();
});
