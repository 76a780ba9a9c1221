import type * as telemetry from "../../telemetry/types.js";

/**
 * Renders the decisions about a request as a timeline.
 *
 * @param events - decisions of all holders of the request's record, in any order
 * @returns a heading with the start time, then one line per decision with the time since the first
 */
export function renderTrace(events: readonly telemetry.TraceEvent[]): string {
  const sorted = [...events].sort((left, right) => left.atWallMs - right.atWallMs);
  const startMs = sorted[0]?.atWallMs ?? 0;
  const stepWidth = Math.max(0, ...sorted.map((event) => event.step.length));
  const vmWidth = Math.max(0, ...sorted.map((event) => event.vm.length));
  const heading = `started ${new Date(startMs).toISOString()}\n`;
  const lines = sorted.map((event) => {
    const at = `+${Math.round(event.atWallMs - startMs)} ms`.padStart(12);
    return `${at}  ${event.vm.padEnd(vmWidth)}  ${event.step.padEnd(stepWidth)}  ${formatDecision(event)}\n`;
  });
  return heading + lines.join("");
}

function formatDecision(event: telemetry.TraceEvent): string {
  const details = [
    event.backend === undefined ? "" : `backend ${event.backend}`,
    event.offset === undefined ? "" : `offset ${event.offset}`,
    event.durationMs === undefined ? "" : `after ${Math.round(event.durationMs)} ms`,
  ].filter((text) => text !== "");
  return details.length === 0 ? event.reason : `${event.reason} [${details.join(", ")}]`;
}
