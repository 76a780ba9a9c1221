import * as explanations from "../explainRequest/index.js";
import * as types from "../types.js";

/** Explains all requests in a log that were not served, in the order of their first lines. */
export function explainUnservedRequests(
  lines: readonly types.LogLine[],
): readonly types.RequestExplanation[] {
  const requestIds = new Set(
    lines.map(({ requestId }) => requestId).filter((requestId) => requestId !== null),
  );
  return [...requestIds]
    .filter((requestId) => requestId !== "")
    .map((requestId) => explanations.explainRequest(lines, requestId))
    .filter((explanation) => explanation !== null)
    .filter(({ outcome }) => outcome !== types.RequestOutcome.Served);
}
