import * as fc from "fast-check";
import tap from "tap";
import * as yaml from "yaml";

import * as spoiled from "../../../standins/spoiledValues/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as parseSettings from "../parseSettings/index.js";

const SETTINGS = {
  vm: { name: "a-1", region: "north", dataCentre: "a", peerAddress: "127.0.0.1", peerPort: 7_100 },
  admin: { operatorKeys: [{ operator: "ann", keyHash: "a".repeat(64) }] },
  fleet: { key: "k".repeat(32), regions: [{ name: "north", dataCentres: ["a", "b"] }] },
  platform: { logUrls: ["http://127.0.0.1:9000"] },
  shutdown: { graceMs: 600_000 },
};

/** Documents that only YAML can hold: aliases without an anchor, of themselves, and of much. */
const ODD_DOCUMENTS = [
  ...[
    "*a",
    "a: *a",
    "a: &a [*a]",
    "a: &a { b: *a }",
    "? [a]\n: b",
    "<<: *a",
    "--- a\n--- b",
    "%YAML 9.9",
  ],
  `a0: &a0 [x, x]\n${Array.from({ length: 30 }, (_, at) => `a${at + 1}: &a${at + 1} [*a${at}, *a${at}]`).join("\n")}`,
  "[".repeat(5_000),
  `${"[".repeat(3_000)}${"]".repeat(3_000)}`,
  `a: !!binary "x"\nb: !!set {}\nc: !odd d`,
];

const texts = fc.oneof(
  { weight: 4, arbitrary: spoiled.spoil(SETTINGS).map((value) => yaml.stringify(value)) },
  spoiled.spoilBytes(fc.constant(Buffer.from(yaml.stringify(SETTINGS)))).map(String),
  fc.constantFrom(...ODD_DOCUMENTS),
  spoiled.bytes.map(String),
);

tap.test("settings that are let through can be used, and others are problems", async () => {
  const verify = (text: string | undefined): void => {
    const parsed = parseSettings.parseSettings(text ?? "", "vm.yaml");
    if (parsed.isErr()) return;
    spoiled.assertUsable(parsed.value);
  };
  await spoiled.check(texts, verify, { seed: 41, runsCount: 500 });
});

tap.test("no document of an operator makes the reading of a catalogue throw", async () => {
  const verify = (text: string | undefined): void => {
    const parsed = catalogue.parseCatalogueDocument(text ?? "");
    if (parsed.isErr()) return;
    spoiled.assertUsable(parsed.value);
  };
  await spoiled.check(texts, verify, { seed: 42, runsCount: 500 });
});
