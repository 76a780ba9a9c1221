import * as diagnostics from "../../diagnostics/index.js";
import * as histories from "../requestHistory/index.js";
import * as types from "../types.js";

const { LogEvent } = diagnostics;
const { RequestOutcome } = types;

type Explained = Omit<types.RequestExplanation, "requestId">;

type Explain = (line: types.LogLine) => Omit<Explained, "isExplained">;

/** What ends a request, and how each kind of end is told. */
const ENDS: Readonly<Partial<Record<diagnostics.LogEvent, Explain>>> = {
  [LogEvent.RequestServed]: ({ fields }) => ({
    outcome: RequestOutcome.Served,
    cause: `served by ${text(fields.serverId)}`,
  }),
  [LogEvent.RequestRefused]: ({ fields }) => ({
    outcome: RequestOutcome.Refused,
    cause: refusalCause(fields),
  }),
  [LogEvent.RequestFailed]: ({ fields }) => ({
    outcome: RequestOutcome.Failed,
    cause: `${text(fields.serverId)} answered with status ${text(fields.status)} after ${text(fields.sendsCount)} sends`,
  }),
  [LogEvent.StreamBroken]: ({ fields }) => ({
    outcome: RequestOutcome.Broken,
    cause: brokenCause(fields),
  }),
  [LogEvent.CallerGone]: ({ fields }) => ({
    outcome: RequestOutcome.CallerGone,
    cause: `the caller closed the connection after ${text(fields.elapsedMs)} ms`,
  }),
};

/**
 * Says how a request ended and why, from its lines alone.
 *
 * @param lines - all lines that were read, of all VMs
 * @returns null where no line names the request
 */
export function explainRequest(
  lines: readonly types.LogLine[],
  requestId: string,
): types.RequestExplanation | null {
  const history = histories.requestHistory(lines, requestId);
  const last = history.at(-1);
  if (last === undefined) return null;
  const end = history.findLast(({ event }) => ENDS[event] !== undefined);
  const explain = end && ENDS[end.event];
  if (end !== undefined && explain !== undefined) {
    return { requestId, isExplained: true, ...explain(end) };
  }
  return { requestId, ...explainUnfinished(lines, last) };
}

/** A request without an end was cut with its process, or is still at work. */
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
    cause: `still at work at ${last.vmName} when its log ends`,
  };
}

function refusalCause(fields: types.LogLine["fields"]): string {
  const detail =
    fields.detail === undefined || fields.detail === "" ? "" : ` (${text(fields.detail)})`;
  const comeBack =
    typeof fields.retryAfterMs === "number" ? `, to come back in ${fields.retryAfterMs} ms` : "";
  return `answered ${text(fields.status)} for ${text(fields.reason)}${detail}${comeBack}`;
}

function brokenCause(fields: types.LogLine["fields"]): string {
  const at = `after event ${text(fields.lastEventId)} on ${text(fields.serverId)}`;
  if (fields.cause === "deadline") return `the time was over ${at}`;
  const leaving = fields.serverLeaving;
  const why = leaving === null || leaving === undefined ? "" : `, which left (${text(leaving)})`;
  const copy = fields.hadBackup === true ? "its copy could not go on" : "no copy stood by";
  return `the stream ended (${text(fields.cause)}) ${at}${why}; ${copy}`;
}

function text(value: unknown): string {
  return typeof value === "string" || typeof value === "number" ? String(value) : "unknown";
}
