import * as zod from "zod";

import * as jsonText from "../../_lib/parseJson/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import type * as types from "../types.js";

const lineSchema = zod.looseObject({
  event: zod.enum(diagnostics.LogEvent),
  vm: zod.string(),
  time: zod.string(),
  requestId: zod.string().nullish(),
});

/** Fields of the log format; all others describe the logged decision. */
const ENVELOPE_FIELDS: ReadonlySet<string> = new Set([
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
 * Parses one line of a log, and skips a prefix that a log collector added before the JSON object.
 *
 * @param index - position of the line among all lines that are read
 * @returns null if the text is not a line of the decision log
 */
export function parseLogLine(text: string, index: number): types.LogLine | null {
  const json = jsonText.parseJson(text.slice(Math.max(0, text.indexOf("{"))));
  const parsed = lineSchema.safeParse(json);
  if (!parsed.success) return null;
  const { event, vm, time, requestId } = parsed.data;
  const fields = Object.entries(parsed.data).filter(([name]) => !ENVELOPE_FIELDS.has(name));
  return {
    event,
    vmName: vm,
    atMs: Date.parse(time),
    index,
    requestId: requestId ?? null,
    fields: Object.fromEntries(fields),
  };
}
