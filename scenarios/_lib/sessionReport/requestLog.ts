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
 * Describes the start requests that the engines received. The engine that serves a request and the
 * number of resumptions may differ between runs: neither is included, and equal lines are merged.
 */
export function describeEngines(
  run: scenarioRuns.ScenarioRun,
  replacements: placeholders.Placeholders,
): string {
  const lines = [...run.world.engines.values()].flatMap((engine) =>
    engine.received
      .filter((item) => item.action === engineServers.StreamAction.Start)
      .map((item) => `  ${describeAction(item)}`),
  );
  if (lines.length === 0) return "";
  return ["engines", ...new Set(lines.map((line) => replacements.replaceIn(line)).sort())].join(
    "\n",
  );
}

function describeAction(item: engineServers.ReceivedAction): string {
  const from = item.fromOffset === 0 ? "from the start" : "after a prefix";
  return `${item.action} ${item.requestId} ${from}`;
}

/** Describes the operators' changes in the order of the log. */
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
 * Describes which types of records the log holds for each once-only key, in the order of the keys'
 * first records. Each type is listed once, because the number of concurrent intents for a key
 * may differ between runs.
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
