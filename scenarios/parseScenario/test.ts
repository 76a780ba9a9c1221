import tap from "tap";

import * as yamlFile from "../../src/_lib/yamlFile/index.js";
import * as parseScenario from "./index.js";

const VALID = `name: one draft
vms: [{ name: a-1, dataCentre: a }]
engines: [{ name: e-1, dataCentre: a }]
steps:
  - do: start
  - { do: generate, as: draft, entry: route, account: walker }
  - { do: kill, target: "engine-of:draft" }
`;

function listProblems(text: string): readonly string[] {
  const result = parseScenario.parseScenario(text, "s.yaml");
  return result.isErr() ? result.error.map((item) => yamlFile.formatYamlProblem(item)) : [];
}

tap.test("a valid scenario has no errors", (t) => {
  t.same(listProblems(VALID), []);
  t.end();
});

tap.test("an unknown step is an error with its line and the known steps", (t) => {
  const [problem] = listProblems(VALID.replace("do: start", "do: begin"));
  t.match(problem, /^s\.yaml:5: steps\[0\]\.do: expected one of start, apply, .*found "begin"$/);
  t.end();
});

tap.test("an unknown field of a step is an error with its line", (t) => {
  t.same(listProblems(VALID.replace("account: walker", "account: walker, color: red")), [
    's.yaml:6: steps[1].color: expected a known field, found unknown field "color"',
  ]);
  t.end();
});

tap.test("each undeclared name is an error with its line and the declared names", (t) => {
  const text = VALID.replace("account: walker", "account: nobody, at: z-9").replace(
    "engine-of:draft",
    "engine-of:other",
  );
  t.same(listProblems(text), [
    's.yaml:6: steps[1].at: expected a vm of this scenario: a-1, found "z-9"',
    's.yaml:6: steps[1].account: expected a account of this scenario: walker, found "nobody"',
    's.yaml:7: steps[2].target: expected a target of this scenario: a-1, e-1, log, vm-list, weight-store, found "engine-of:other"',
  ]);
  t.end();
});
