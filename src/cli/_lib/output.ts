import Table from "cli-table3";

import type * as types from "../types.js";

/** Table characters without borders, so that other programs can split the columns. */
const BORDERLESS = {
  top: "",
  "top-mid": "",
  "top-left": "",
  "top-right": "",
  bottom: "",
  "bottom-mid": "",
  "bottom-left": "",
  "bottom-right": "",
  left: "",
  "left-mid": "",
  mid: "",
  "mid-mid": "",
  right: "",
  "right-mid": "",
  middle: "  ",
};

/** Formats a table with a heading line. */
export function formatTable(
  headings: readonly string[],
  rows: readonly (readonly (string | number)[])[],
): string {
  const table = new Table({
    head: [...headings],
    chars: BORDERLESS,
    style: { "padding-left": 0, "padding-right": 0, head: [], border: [] },
  });
  table.push(...rows.map((row) => [...row]));
  return table.toString().replace(/[ ]+$/gm, "") + "\n";
}

/** Writes a value as JSON with `--json`, else as text. */
export function writeResult(
  context: types.CliContext,
  options: Pick<types.CommonOptions, "json">,
  value: unknown,
  formatText: () => string,
): void {
  if (options.json === true) context.writeOut(`${JSON.stringify(value)}\n`);
  else context.writeOut(formatText());
}

/** Writes a warning to standard error that names the VMs which did not answer, if there are any. */
export function warnOfMissingVms(context: types.CliContext, missingVms: readonly string[]): void {
  if (missingVms.length === 0) return;
  context.writeErr(`no answer from: ${missingVms.join(", ")}; the result lacks their data\n`);
}

/** Formats a duration in a readable unit, for example "1.5 s". */
export function formatDuration(durationMs: number): string {
  if (durationMs < 1_000) return `${Math.round(durationMs)} ms`;
  if (durationMs < 120_000) return `${(durationMs / 1_000).toFixed(1)} s`;
  if (durationMs < 7_200_000) return `${Math.round(durationMs / 60_000)} min`;
  return `${Math.round(durationMs / 3_600_000)} h`;
}
