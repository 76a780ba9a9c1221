import * as diagnostics from "../../diagnostics/index.js";
import * as histories from "../findRequestHistory/index.js";
import type * as types from "../types.js";

const { LogEvent } = diagnostics;

/** Events that change a VM's view of a backend server. */
const SERVER_EVENTS: ReadonlySet<diagnostics.LogEvent> = new Set([
  LogEvent.ServerLeaving,
  LogEvent.ServerKnown,
  LogEvent.AttemptEnded,
]);

/** A VM's view of a server or of the configuration, given by the last line that changed it. */
export interface VmView {
  readonly vmName: string;
  readonly line: types.LogLine;
}

/** Returns each VM's view of a backend server at a wall time; omits VMs without one. */
export function findServerViewsAt(
  lines: readonly types.LogLine[],
  serverId: string,
  atMs: number,
): readonly VmView[] {
  return findLastLineByVm(lines, atMs, (line) => {
    return SERVER_EVENTS.has(line.event) && line.fields.serverId === serverId;
  });
}

/** Returns the configuration that each VM had in force at a wall time; omits VMs without one. */
export function findConfigurationViewsAt(
  lines: readonly types.LogLine[],
  atMs: number,
): readonly VmView[] {
  return findLastLineByVm(lines, atMs, (line) => line.event === LogEvent.ConfigurationTaken);
}

function findLastLineByVm(
  lines: readonly types.LogLine[],
  atMs: number,
  isRelevant: (line: types.LogLine) => boolean,
): readonly VmView[] {
  const lastByVm = new Map<string, types.LogLine>();
  const earlierLines = lines.filter((line) => line.atMs <= atMs).sort(histories.compareLines);
  for (const line of earlierLines) {
    // A process has no view when it starts.
    if (line.event === LogEvent.Started) lastByVm.delete(line.vmName);
    if (isRelevant(line)) lastByVm.set(line.vmName, line);
  }
  return [...lastByVm].map(([vmName, line]) => ({ vmName, line }));
}
