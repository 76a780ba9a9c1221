import * as zod from "zod";

import * as engineServers from "../../../standins/engine/server/index.js";
import type * as scenarioRuns from "../scenarioRun/index.js";
import type * as placeholders from "./placeholders.js";

const changeSchema = zod.looseObject({
  type: zod.literal("change"),
  kind: zod.string(),
  name: zod.string(),
  operator: zod.string(),
  baseRevision: zod.number().nullable(),
});

const callSchema = zod.looseObject({
  type: zod.enum(["intent", "released", "outcome", "unknown"]),
  keyId: zod.string(),
});

/**
 * What the engines were asked to run. Which engine took a request may differ from run to run, and
 * so may the number of resumptions; neither is told, and equal lines are given once.
 */
export function describeEngines(
  run: scenarioRuns.ScenarioRun,
  names: placeholders.Placeholders,
): string {
  const lines = [...run.world.engines.values()].flatMap((engine) =>
    engine.received
      .filter((item) => item.action === engineServers.StreamAction.Start)
      .map((item) => `  ${describeAction(item)}`),
  );
  if (lines.length === 0) return "";
  return ["engines", ...new Set(lines.map((line) => names.replaceIn(line)).sort())].join("\n");
}

function describeAction(item: engineServers.ReceivedAction): string {
  const from = item.fromOffset === 0 ? "from the start" : "after a prefix";
  return `${item.action} ${item.requestId} ${from}`;
}

/** The operators' changes in the order of the log. */
export function describeChanges(payloads: readonly unknown[]): string {
  const lines = payloads.flatMap((payload) => {
    const change = changeSchema.safeParse(payload).data;
    if (change === undefined) return [];
    const base = change.baseRevision === null ? "new" : "on an earlier revision";
    return [`  ${change.kind}/${change.name} by ${change.operator}, ${base}`];
  });
  return lines.length === 0 ? "" : ["log catalogue", ...lines].join("\n");
}

/**
 * Which kinds of records the log holds of each once-only key, keys in the order of their first
 * record. How many intents raced for a key may differ from run to run.
 */
export function describeCalls(payloads: readonly unknown[]): string {
  const types = new Map<string, Set<string>>();
  for (const payload of payloads) {
    const record = callSchema.safeParse(payload).data;
    if (record === undefined) continue;
    types.set(record.keyId, (types.get(record.keyId) ?? new Set()).add(record.type));
  }
  const lines = [...types.values()].map(
    (kinds, index) => `  key ${index + 1}: ${[...kinds].join(", ")}`,
  );
  return lines.length === 0 ? "" : ["log calls", ...lines].join("\n");
}
