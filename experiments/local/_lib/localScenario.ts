import * as yamlFile from "../../../src/_lib/yamlFile/index.js";
import * as parseScenario from "../../../scenarios/parseScenario/index.js";
import type * as scenarios from "../../../scenarios/types.js";

/** A draft that is streamed, a permit that is filed once, and a look-up. */
const ENTRIES = [
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

/** The fleet that `npm start` and `npm run demo` run: so many VMs and two engines. */
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
    steps: [{ do: "start" }, { do: "apply", items: ENTRIES }, ...steps],
  };
  const parsed = parseScenario.parseScenario(JSON.stringify(scenario), "local");
  if (parsed.isOk()) return parsed.value.scenario;
  throw new Error(parsed.error.map((item) => yamlFile.formatYamlProblem(item)).join("\n"));
}
