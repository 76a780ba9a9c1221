import * as yamlFile from "../../../src/_lib/yamlFile/index.js";
import * as parseScenario from "../../../scenarios/parseScenario/index.js";
import type * as scenarios from "../../../scenarios/types.js";

/** A streamed generation, a once-only call and an idempotent call. */
const CATALOGUE_ENTRIES = [
  {
    kind: "generation",
    name: "route-justification",
    owner: "scenario",
    class: "streaming",
    model: "drafter",
    version: "1",
    maxTokens: 4_000,
    deadlineMs: 120_000,
  },
  {
    kind: "call",
    name: "file-permit",
    owner: "scenario",
    class: "interactive",
    service: "permits",
    method: "POST",
    path: "/permits",
    semantics: "once-only",
    statusPath: "/permits/by-key/{key}",
    keyRequired: true,
    deadlineMs: 10_000,
  },
  {
    kind: "call",
    name: "permit-status",
    owner: "scenario",
    class: "interactive",
    service: "permits",
    method: "POST",
    path: "/lookups",
    semantics: "idempotent",
    deadlineMs: 5_000,
  },
];

/**
 * Creates the scenario of `npm start` and `npm run demo`: the given VMs, two engines and one
 * service.
 */
export function createLocalScenario(
  vmNames: readonly string[],
  steps: readonly object[] = [],
): scenarios.Scenario {
  const dataCentre = "riga-a";
  const scenario = {
    name: "local",
    vms: vmNames.map((name) => ({ name, dataCentre })),
    engines: ["draft-1", "draft-2"].map((name) => ({ name, dataCentre })),
    services: [{ name: "filing-1", service: "permits", dataCentre }],
    accounts: ["walkers"],
    steps: [{ do: "start" }, { do: "apply", items: CATALOGUE_ENTRIES }, ...steps],
  };
  const parsed = parseScenario.parseScenario(JSON.stringify(scenario), "local");
  if (parsed.isOk()) return parsed.value.scenario;
  throw new Error(parsed.error.map((item) => yamlFile.formatYamlProblem(item)).join("\n"));
}
