import * as telemetry from "../../telemetry/index.js";
import * as output from "../_lib/output.js";
import * as tables from "../renderBurnTable/index.js";

/** Size of a plot, and its margin on each side. */
const PLOT_WIDTH_PX = 640;
const PLOT_HEIGHT_PX = 120;
const PLOT_MARGIN_PX = 30;

/**
 * Smallest upper end of the vertical axis, so that plots of low burn rates have the same scale. A
 * burn rate of 1 consumes the error budget exactly.
 */
const MIN_AXIS_BURN_RATE = 2;

const STYLE = `body{font:14px sans-serif;margin:2em;color:#222}table{border-collapse:collapse}
td,th{padding:.2em .8em;border-bottom:1px solid #ddd;text-align:left}h2{margin-top:2em}
.over{color:#b00020;font-weight:bold}svg{background:#fafafa}`;

/** The time at which a report was generated, and the VMs whose data it lacks. */
export interface BurnReportOptions {
  readonly generatedAtWallMs: number;
  readonly missingVms: readonly string[];
}

/**
 * Renders a self-contained page with the burn table and a plot per entry and objective.
 *
 * @param series - the burn series, merged over all VMs
 * @returns HTML that references no other resources
 */
export function renderBurnHtml(
  series: readonly telemetry.BurnSeries[],
  options: BurnReportOptions,
): string {
  const generatedAt = new Date(options.generatedAtWallMs).toISOString();
  const missing =
    options.missingVms.length === 0
      ? ""
      : `<p class="over">No answer from ${escapeHtml(options.missingVms.join(", "))}.</p>`;
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>${STYLE}</style></head><body>
<h1>Service-level burn</h1>
<p>As of ${generatedAt}. A burn rate of 1 consumes the error budget exactly.</p>
${missing}
${renderTable(series)}
${series.map((item) => renderSection(item, options.generatedAtWallMs)).join("\n")}
</body></html>
`;
}

function renderTable(series: readonly telemetry.BurnSeries[]): string {
  const windows = series[0]?.windows ?? [];
  const heads = windows.map(({ windowMs }) => `<th>${output.formatDuration(windowMs)}</th>`);
  const rows = series.map((item) => {
    const cells = item.windows.map((counts) => renderBurnCell(counts, item.targetRatio));
    return `<tr><td>${escapeHtml(item.owner)}</td><td>${escapeHtml(item.entryName)}</td><td>${item.subject}</td><td>${formatBound(item)}</td>${cells.join("")}</tr>`;
  });
  return `<table><tr><th>Owner</th><th>Entry</th><th>Objective</th><th>Bound</th>${heads.join("")}</tr>
${rows.join("\n")}</table>`;
}

function renderBurnCell(counts: telemetry.BurnCounts, targetRatio: number): string {
  const isOver = telemetry.calculateBurnRate(counts, targetRatio) > 1;
  const text = tables.formatBurn(counts, targetRatio);
  return isOver ? `<td class="over">${text}</td>` : `<td>${text}</td>`;
}

function renderSection(series: telemetry.BurnSeries, nowWallMs: number): string {
  const quantiles = telemetry.decodeQuantiles(series.histogram, tables.REPORTED_PERCENTILES);
  const shown = tables.REPORTED_PERCENTILES.map(
    (percentile, index) => `p${percentile} ${quantiles?.[index]?.toFixed(1) ?? "-"} ms`,
  );
  return `<h2>${escapeHtml(series.entryName)}: ${series.subject}</h2>
<p>${quantiles === null ? "No distribution." : `Last hour: ${shown.join(", ")}.`}</p>
${renderPlot(series, nowWallMs)}`;
}

function renderPlot(series: telemetry.BurnSeries, nowWallMs: number): string {
  const longestMs = Math.max(...series.windows.map((counts) => counts.windowMs));
  const startMs = nowWallMs - longestMs;
  const points = series.slots.map((slot) => ({
    atMs: slot.startWallMs,
    rate: telemetry.calculateBurnRate({ windowMs: 0, ...slot }, series.targetRatio),
  }));
  const finite = points.map((point) => point.rate).filter((rate) => Number.isFinite(rate));
  const axisBurnRate = Math.max(MIN_AXIS_BURN_RATE, ...finite);
  const xOf = (atMs: number): number =>
    PLOT_MARGIN_PX + ((atMs - startMs) / longestMs) * (PLOT_WIDTH_PX - 2 * PLOT_MARGIN_PX);
  const yOf = (rate: number): number =>
    PLOT_HEIGHT_PX -
    PLOT_MARGIN_PX -
    (Math.min(rate, axisBurnRate) / axisBurnRate) * (PLOT_HEIGHT_PX - 2 * PLOT_MARGIN_PX);
  const marks = points.map(({ atMs, rate }) => {
    const colour = rate > 1 ? "#b00020" : "#1a6b3a";
    return `<circle cx="${xOf(atMs).toFixed(1)}" cy="${yOf(rate).toFixed(1)}" r="2" fill="${colour}"/>`;
  });
  const budgetY = yOf(1).toFixed(1);
  return `<svg width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" role="img" aria-label="burn rate per minute">
<line x1="${PLOT_MARGIN_PX}" x2="${PLOT_WIDTH_PX - PLOT_MARGIN_PX}" y1="${budgetY}" y2="${budgetY}" stroke="#999" stroke-dasharray="4"/>
<text x="2" y="${budgetY}" font-size="10">1</text><text x="2" y="${PLOT_MARGIN_PX}" font-size="10">${axisBurnRate.toFixed(1)}</text>
<text x="${PLOT_MARGIN_PX}" y="${PLOT_HEIGHT_PX - 8}" font-size="10">${output.formatDuration(longestMs)} ago</text>
<text x="${PLOT_WIDTH_PX - 2 * PLOT_MARGIN_PX}" y="${PLOT_HEIGHT_PX - 8}" font-size="10">now</text>
${marks.join("\n")}</svg>`;
}

function formatBound(series: telemetry.BurnSeries): string {
  return series.objectiveMs === null ? "-" : output.formatDuration(series.objectiveMs);
}

function escapeHtml(text: string): string {
  return text
    .replaceAll("&", "&amp;")
    .replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;")
    .replaceAll('"', "&quot;");
}
