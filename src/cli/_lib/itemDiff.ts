import * as catalogue from "../../catalogue/index.js";
import type * as planning from "./planChanges.js";

/** Formats planned changes, with the old and new value of each changed field. */
export function formatPlan(changes: readonly planning.PlannedChange[]): string {
  if (changes.length === 0) return "nothing to change\n";
  return changes.map(({ change, before }) => formatChange(change, before)).join("");
}

function formatChange(
  change: planning.PlannedChange["change"],
  before: catalogue.CatalogueItem | null,
): string {
  const base = change.baseRevision === null ? "new" : `from revision ${change.baseRevision}`;
  const fields = catalogue
    .diffItems(before, change.item)
    .map(
      (field) => `  ${field.path}: ${formatValue(field.before)} -> ${formatValue(field.after)}\n`,
    );
  return `${change.kind}/${change.name} (${base})\n${fields.join("")}`;
}

function formatValue(value: unknown): string {
  return value === undefined ? "-" : JSON.stringify(value);
}
