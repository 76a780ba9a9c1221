/** A name in a step that the scenario does not declare. */
export interface UnknownName {
  readonly path: readonly (string | number)[];
  readonly expected: string;
}

interface Named {
  readonly name: string;
}

interface NamedScenario {
  readonly vms: readonly Named[];
  readonly engines: readonly Named[];
  readonly services: readonly (Named & { readonly service: string; readonly dataCentre: string })[];
  readonly accounts: readonly string[];
  readonly steps: readonly object[];
}

/** Targets that are resolved while the scenario runs, such as `engine-of:draft`. */
const DYNAMIC_TARGET = /^(engine|home|entry)-of:(.+)$/;

const PLATFORM_SERVICES = ["log", "vm-list", "weight-store"];

type Declared = Readonly<Record<string, readonly string[]>>;

/** The group of declared names to which each field of a step refers. */
const GROUP_BY_FIELD: Readonly<Record<string, string>> = {
  at: "vm",
  vm: "vm",
  vms: "vm",
  ready: "vm",
  left: "vm",
  engine: "engine",
  service: "service",
  account: "account",
  request: "request",
  sameAnswerAs: "request",
  target: "target",
};

/** Finds the names in steps that the scenario does not declare. */
export function findUnknownNames(scenario: NamedScenario): readonly UnknownName[] {
  const declared = collectDeclaredNames(scenario);
  return scenario.steps.flatMap((step, index) =>
    Object.entries(step).flatMap(([field, value]) => {
      const group = GROUP_BY_FIELD[field];
      if (group === undefined || typeof value === "boolean") return [];
      return findUnknown(extractNames(value), declared, group).map(() => ({
        path: ["steps", index, field],
        expected: `a ${group} of this scenario: ${(declared[group] ?? []).join(", ")}`,
      }));
    }),
  );
}

function collectDeclaredNames(scenario: NamedScenario): Declared {
  const vm = scenario.vms.map((item) => item.name);
  const engine = scenario.engines.map((item) => item.name);
  const serviceServers = scenario.services.map((item) => item.name);
  const requests = scenario.steps.flatMap((step) =>
    "as" in step && typeof step.as === "string" ? [step.as] : [],
  );
  return {
    vm,
    engine,
    service: [...new Set(scenario.services.map((item) => item.service))],
    account: scenario.accounts,
    request: [...new Set(requests)],
    target: [...vm, ...engine, ...serviceServers, ...PLATFORM_SERVICES],
  };
}

function findUnknown(names: readonly string[], declared: Declared, group: string): string[] {
  return names.filter((name) => {
    const dynamic = DYNAMIC_TARGET.exec(name);
    if (dynamic !== null) return !(declared.request ?? []).includes(dynamic[2] ?? "");
    return !(declared[group] ?? []).includes(name);
  });
}

function extractNames(value: unknown): readonly string[] {
  const values: readonly unknown[] = Array.isArray(value) ? value : [value];
  return values.filter((item) => typeof item === "string");
}
