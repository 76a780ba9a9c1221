import * as diagnostics from "../../diagnostics/index.js";
import * as histories from "../findRequestHistory/index.js";
import * as types from "../types.js";

const { LogEvent } = diagnostics;
const { RequestOutcome } = types;

type Explained = Omit<types.RequestExplanation, "requestId">;

type Explain = (line: types.LogLine) => Omit<Explained, "isExplained">;

/** The events that end a request, with the functions that describe each kind of end. */
const EXPLAIN_BY_END_EVENT: Readonly<Partial<Record<diagnostics.LogEvent, Explain>>> = {
  [LogEvent.RequestServed]: ({ fields }) => ({
    outcome: RequestOutcome.Served,
    cause: `served by ${formatValue(fields.serverId)}`,
  }),
  [LogEvent.RequestRefused]: ({ fields }) => ({
    outcome: RequestOutcome.Refused,
    cause: describeRefusal(fields),
  }),
  [LogEvent.RequestFailed]: ({ fields }) => ({
    outcome: RequestOutcome.Failed,
    cause: `${formatValue(fields.serverId)} answered with status ${formatValue(fields.status)} after ${formatValue(fields.sendsCount)} sends`,
  }),
  [LogEvent.StreamBroken]: ({ fields }) => ({
    outcome: RequestOutcome.Broken,
    cause: describeBrokenStream(fields),
  }),
  [LogEvent.CallerGone]: ({ fields }) => ({
    outcome: RequestOutcome.CallerGone,
    cause: `the caller closed the connection after ${formatValue(fields.elapsedMs)} ms`,
  }),
};

/**
 * Determines from log lines how a request ended and why.
 *
 * @param lines - all lines that were read, from all VMs
 * @returns null if no line has the request's id
 */
export function explainRequest(
  lines: readonly types.LogLine[],
  requestId: string,
): types.RequestExplanation | null {
  const history = histories.findRequestHistory(lines, requestId);
  const last = history.at(-1);
  if (last === undefined) return null;
  const end = history.findLast(({ event }) => EXPLAIN_BY_END_EVENT[event] !== undefined);
  const explain = end && EXPLAIN_BY_END_EVENT[end.event];
  if (end !== undefined && explain !== undefined) {
    return { requestId, isExplained: true, ...explain(end) };
  }
  return { requestId, ...explainUnfinished(lines, last) };
}

/** Explains a request without an end: its process was killed or stopped, or it is in progress. */
function explainUnfinished(lines: readonly types.LogLine[], last: types.LogLine): Explained {
  const later = lines.filter(
    ({ vmName, atMs, index }) =>
      vmName === last.vmName && (atMs > last.atMs || (atMs === last.atMs && index > last.index)),
  );
  const outcome = RequestOutcome.Unfinished;
  const restart = later.find(({ event }) => event === LogEvent.Started);
  if (restart !== undefined) {
    const time = new Date(restart.atMs).toISOString();
    return {
      outcome,
      isExplained: true,
      cause: `${last.vmName} was killed; its next process started at ${time}`,
    };
  }
  const stopped = later.find(({ event }) => event === LogEvent.Stopped);
  if (stopped !== undefined) {
    return {
      outcome,
      isExplained: true,
      cause: `${last.vmName} stopped at the end of its grace period`,
    };
  }
  return {
    outcome,
    isExplained: false,
    cause: `still in progress at ${last.vmName} when its log ends`,
  };
}

function describeRefusal(fields: types.LogLine["fields"]): string {
  const detail =
    fields.detail === undefined || fields.detail === "" ? "" : ` (${formatValue(fields.detail)})`;
  const retryDelay =
    typeof fields.retryAfterMs === "number" ? `, retry after ${fields.retryAfterMs} ms` : "";
  return `answered with status ${formatValue(fields.status)} for ${formatValue(fields.reason)}${detail}${retryDelay}`;
}

function describeBrokenStream(fields: types.LogLine["fields"]): string {
  const position = `after event ${formatValue(fields.lastEventId)} on ${formatValue(fields.serverId)}`;
  if (fields.cause === "deadline") return `the deadline passed ${position}`;
  const leaving = fields.serverLeaving;
  const departure =
    leaving === null || leaving === undefined ? "" : `, which left (${formatValue(leaving)})`;
  const backup = fields.hadBackup === true ? "its backup could not continue" : "it had no backup";
  return `the stream ended (${formatValue(fields.cause)}) ${position}${departure}; ${backup}`;
}

function formatValue(value: unknown): string {
  return typeof value === "string" || typeof value === "number" ? String(value) : "unknown";
}
