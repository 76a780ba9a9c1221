import * as telemetry from "../../telemetry/index.js";
import * as output from "../_lib/output.js";

/** Percentiles shown in burn reports. */
export const REPORTED_PERCENTILES = [50, 95, 99] as const;

/**
 * Renders a burn report as a table with one line per entry and objective.
 *
 * @param series - the burn series, merged over all VMs
 */
export function renderBurnTable(series: readonly telemetry.BurnSeries[]): string {
  const windows = series[0]?.windows.map((counts) => counts.windowMs) ?? [];
  const headings = [
    "OWNER",
    "ENTRY",
    "OBJECTIVE",
    "BOUND",
    "TARGET",
    ...windows.map((windowMs) => `BURN ${output.formatDuration(windowMs)}`),
    ...REPORTED_PERCENTILES.map((percentile) => `P${percentile}`),
  ];
  return output.formatTable(headings, series.map(formatRow));
}

/** Formats a burn rate: "-" without events, "all" if no event may be bad but some were. */
export function formatBurn(counts: telemetry.BurnCounts, targetRatio: number): string {
  if (counts.goodCount + counts.badCount === 0) return "-";
  const rate = telemetry.calculateBurnRate(counts, targetRatio);
  return Number.isFinite(rate) ? rate.toFixed(2) : "all";
}

function formatRow(series: telemetry.BurnSeries): readonly string[] {
  const quantiles = telemetry.decodeQuantiles(series.histogram, REPORTED_PERCENTILES);
  return [
    series.owner,
    series.entryName,
    series.subject,
    series.objectiveMs === null ? "-" : output.formatDuration(series.objectiveMs),
    series.targetRatio.toString(),
    ...series.windows.map((counts) => formatBurn(counts, series.targetRatio)),
    ...REPORTED_PERCENTILES.map((_percentile, index) => formatQuantile(quantiles?.[index])),
  ];
}

function formatQuantile(valueMs: number | undefined): string {
  return valueMs === undefined ? "-" : `${valueMs.toFixed(1)} ms`;
}
