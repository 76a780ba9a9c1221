import * as zod from "zod";

import * as jsonText from "../../_lib/parseJson/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import type * as types from "../types.js";

const line = zod.looseObject({
  event: zod.enum(diagnostics.LogEvent),
  vm: zod.string(),
  time: zod.string(),
  requestId: zod.string().nullish(),
});

/** Fields that say nothing of the decision. */
const ENVELOPE: ReadonlySet<string> = new Set([
  "event",
  "vm",
  "time",
  "requestId",
  "name",
  "hostname",
  "pid",
  "level",
  "msg",
  "v",
  "dataCentre",
]);

/**
 * Reads one line of a log; what a collector wrote before the JSON object is passed over.
 *
 * @returns null where the line holds no decision
 */
export function parseLogLine(text: string, index: number): types.LogLine | null {
  const json = jsonText.parseJson(text.slice(Math.max(0, text.indexOf("{"))));
  const parsed = line.safeParse(json);
  if (!parsed.success) return null;
  const { event, vm, time, requestId } = parsed.data;
  const fields = Object.entries(parsed.data).filter(([name]) => !ENVELOPE.has(name));
  return {
    event,
    vmName: vm,
    atMs: Date.parse(time),
    index,
    requestId: requestId ?? null,
    fields: Object.fromEntries(fields),
  };
}
