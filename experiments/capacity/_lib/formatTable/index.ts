import * as fitLine from "../fitLine/index.js";

/** One measured row: a value for each column, in order. */
export type Row = readonly number[];

/**
 * Formats measured rows as a Markdown table, followed by a fitted line for each of the given
 * columns as a function of the first column.
 *
 * @param columns - column names with units; the first is the independent variable
 * @param fittedColumns - the columns to fit a line to
 */
export function formatTable(
  title: string,
  columns: readonly string[],
  fittedColumns: readonly string[],
  rows: readonly Row[],
): string {
  const lines = [
    `### ${title}`,
    "",
    `| ${columns.join(" | ")} |`,
    `|${columns.map(() => "---:").join("|")}|`,
    ...rows.map((row) => `| ${row.map(formatNumber).join(" | ")} |`),
    "",
    ...(rows.length > 1
      ? fittedColumns.map((column) => formatFittedLine(column, columns, rows))
      : []),
    "",
  ];
  return lines.join("\n");
}

function formatFittedLine(
  column: string,
  columns: readonly string[],
  rows: readonly Row[],
): string {
  const index = columns.indexOf(column);
  const points = rows.map((row) => ({ x: row[0] ?? 0, y: row[index] ?? 0 }));
  const { slope, intercept, rSquared } = fitLine.fitLine(points);
  const line = `${formatNumber(intercept)} + ${formatNumber(slope)} × (${columns[0] ?? ""})`;
  return `- ${column}: ${line}, R² ${rSquared.toFixed(2)}`;
}

function formatNumber(value: number): string {
  if (Number.isInteger(value)) return value.toString();
  return Math.abs(value) >= 100 ? value.toFixed(0) : value.toPrecision(3);
}
