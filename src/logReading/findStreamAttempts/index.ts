import * as diagnostics from "../../diagnostics/index.js";
import * as histories from "../findRequestHistory/index.js";
import type * as types from "../types.js";

/** A caller's request that starts or resumes a stream. */
export interface StreamAttempt {
  readonly requestId: string;
  readonly vmName: string;
  readonly atMs: number;
  /** Id of the last event that the caller had. */
  readonly lastEventId: number;
}

/**
 * Finds the requests by which a caller asked for one stream: the first one, and those that resumed it at any VM.
 * Only streams that may be resumed have lines that join them.
 *
 * @returns the requests in the order in which they were placed, the given one included
 */
export function findStreamAttempts(
  lines: readonly types.LogLine[],
  requestId: string,
): readonly StreamAttempt[] {
  const placements = lines.filter(
    ({ event, fields }) =>
      event === diagnostics.LogEvent.RequestPlaced && typeof fields.streamKey === "string",
  );
  const key = placements.find((line) => line.requestId === requestId)?.fields.streamKey;
  if (key === undefined) return [];
  const attempts = new Map<string, StreamAttempt>();
  for (const { requestId: id, vmName, atMs, fields } of placements
    .filter(({ fields: { streamKey } }) => streamKey === key)
    .sort(histories.compareLines)) {
    if (id === null || attempts.has(id)) continue;
    attempts.set(id, { requestId: id, vmName, atMs, lastEventId: Number(fields.lastEventId) });
  }
  return [...attempts.values()];
}
