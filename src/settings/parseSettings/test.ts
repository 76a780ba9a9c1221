import tap from "tap";

import * as formatSettingsErrors from "../formatSettingsErrors/index.js";
import * as parseSettings from "./index.js";

const VALID = `
vm: { name: a-1, region: north, dataCentre: a, peerAddress: 127.0.0.1 }
admin:
  operatorKeys: [{ operator: ann, keyHash: ${"a".repeat(64)} }]
fleet:
  key: ${"k".repeat(32)}
  regions: [{ name: north, dataCentres: [a, b] }]
platform:
  logUrls: [http://127.0.0.1:9000]
`;

function formatProblems(text: string): string {
  const result = parseSettings.parseSettings(text, "vm.yaml");
  return result.isErr() ? formatSettingsErrors.formatSettingsErrors(result.error) : "no problems";
}

tap.test("defaults are applied to settings with only the required fields", (t) => {
  const settings = parseSettings.parseSettings(VALID, "vm.yaml")._unsafeUnwrap();
  t.equal(settings.callers.port, 8_080);
  t.equal(settings.vm.heartbeatPort, 7_101);
  t.equal(settings.shutdown.graceMs, 600_000);
  t.equal(settings.metrics, undefined);
  t.end();
});

tap.test("an unknown field is reported with its line", (t) => {
  t.equal(
    formatProblems(`${VALID}  retries: 3\n`),
    'vm.yaml:10: platform.retries: expected a known field, found unknown field "retries"',
  );
  t.end();
});

tap.test("all problems of all sections are reported at once, in the order of their lines", (t) => {
  const text = VALID.replace("peerAddress: 127.0.0.1", "peerAddress: host-1, peerPort: '71'")
    .replace("key: ", "secret: ")
    .replace("dataCentre: a", "dataCentre: z")
    .replace("keyHash: a", "keyHash: X")
    .replace("http://", "ftp://");
  t.same(formatProblems(text).split("\n"), [
    'vm.yaml:2: vm.peerAddress: expected an IP address, found "host-1"',
    'vm.yaml:2: vm.peerPort: expected a number, found "71"',
    `vm.yaml:2: vm.dataCentre: expected a data centre of the VM's region in fleet.regions, found "z"`,
    `vm.yaml:4: admin.operatorKeys[0].keyHash: expected a SHA-256 hash of 64 lower-case hexadecimal digits, found "X${"a".repeat(58)}...`,
    "vm.yaml:5: fleet.key: expected a text, in quotes where it looks like a number, found nothing",
    'vm.yaml:6: fleet.secret: expected a known field, found unknown field "secret"',
    'vm.yaml:9: platform.logUrls[0]: expected an http or https URL, found "ftp://127.0.0.1:9000"',
  ]);
  t.end();
});

tap.test("a YAML syntax error is reported with its line", (t) => {
  t.match(formatProblems("vm: {\n  name: x\n"), /^vm\.yaml:\d+: expected valid YAML, found /);
  t.match(formatProblems("vm: 1\nvm: 2\n"), /^vm\.yaml:2: expected valid YAML, found Map keys/);
  t.end();
});

tap.test("an empty file is reported as one problem", (t) => {
  t.equal(formatProblems(""), "vm.yaml:1: expected a mapping, found null");
  t.end();
});

tap.test("listeners that share a port are refused", (t) => {
  const text = `${VALID}callers: { port: 8090 }\n`;
  t.match(formatProblems(text), /admin\.port: expected a port that no other listener uses/);
  t.end();
});

tap.test("seed peers with the same name are refused", (t) => {
  const seed = "{ name: b-1, region: north, dataCentre: b, peerAddress: 127.0.0.1 }";
  const text = VALID.replace("fleet:\n", `fleet:\n  seedPeers: [${seed}, ${seed}]\n`);
  t.match(formatProblems(text), /vm\.yaml:6: fleet\.seedPeers: expected seed peers with distinct/);
  t.end();
});

// Guards against a start that ends with a stack trace in place of the problem.
tap.test("aliases without an anchor, and of too much, are problems of the file", async (t) => {
  t.match(formatProblems("vm: *missing\n"), /vm\.yaml:1: expected valid YAML, found .*missing/);
  const levels = Array.from(
    { length: 30 },
    (_, at) => `a${at + 1}: &a${at + 1} [*a${at}, *a${at}]`,
  );
  const text = `a0: &a0 [x, x]\n${levels.join("\n")}`;
  t.match(formatProblems(text), /vm\.yaml:1: expected valid YAML/);
});
