import * as diagnostics from "../../diagnostics/index.js";
import * as histories from "../requestHistory/index.js";
import type * as types from "../types.js";

const { LogEvent } = diagnostics;

/** Events that change what a VM believes about a backend server. */
const SERVER_EVENTS: ReadonlySet<diagnostics.LogEvent> = new Set([
  LogEvent.ServerLeaving,
  LogEvent.ServerKnown,
  LogEvent.AttemptEnded,
]);

/** What a VM believed, by the last line that changed it. */
export interface Belief {
  readonly vmName: string;
  readonly line: types.LogLine;
}

/** What each VM last noted of a backend server up to a time. */
export function serverBeliefsAt(
  lines: readonly types.LogLine[],
  serverId: string,
  atMs: number,
): readonly Belief[] {
  return lastOfEachVm(lines, atMs, (line) => {
    return SERVER_EVENTS.has(line.event) && line.fields.serverId === serverId;
  });
}

/** Which configuration each VM had in force at a time. */
export function configurationBeliefsAt(
  lines: readonly types.LogLine[],
  atMs: number,
): readonly Belief[] {
  return lastOfEachVm(lines, atMs, (line) => line.event === LogEvent.ConfigurationTaken);
}

function lastOfEachVm(
  lines: readonly types.LogLine[],
  atMs: number,
  isRelevant: (line: types.LogLine) => boolean,
): readonly Belief[] {
  const lastByVm = new Map<string, types.LogLine>();
  const known = lines.filter((line) => line.atMs <= atMs).sort(histories.compareLines);
  for (const line of known) {
    // A process that starts believes nothing yet.
    if (line.event === LogEvent.Started) lastByVm.delete(line.vmName);
    if (isRelevant(line)) lastByVm.set(line.vmName, line);
  }
  return [...lastByVm].map(([vmName, line]) => ({ vmName, line }));
}
