import * as fc from "fast-check";
import tap from "tap";

import * as parseCatalogueDocument from "./index.js";

const { parseCatalogueDocument: parse } = parseCatalogueDocument;

const GOOD = `
- kind: generation
  name: narrative
  owner: varahoidja
  class: streaming
  model: report-7b
  version: "3"
- kind: call
  name: register
  owner: varahoidja
  service: ledger
  path: /tags
  semantics: once-only
  statusPath: /tags/{key}
---
kind: account
name: harbour
owner: varahoidja
keyHashes: []
`;

tap.test(
  "items of several documents are parsed, and missing fields get their defaults",
  async (t) => {
    const items = parse(GOOD)._unsafeUnwrap();
    t.same(
      items.map((item) => `${item.kind}/${item.name}`),
      ["generation/narrative", "call/register", "account/harbour"],
    );
    t.match(items[0], {
      maxTokens: 4_096,
      abandonAfterMs: null,
      objectives: { targetRatio: 0.95 },
    });
    t.match(items[1], { method: "POST", keyRequired: false, logOutage: "wait" });
  },
);

tap.test("all errors are returned together, each with its path and line", async (t) => {
  const bad = GOOD.replace("class: streaming", "class: fast").replace(
    "path: /tags",
    "path: tags\n  colour: red",
  );
  t.match(parse(bad)._unsafeUnwrapErr(), [
    { path: "[0].class", line: 5 },
    { path: "[1].path", line: 12 },
    { path: "[1].colour", line: 13, message: "is not a known field" },
  ]);
});

tap.test("an item that occurs twice is an error", async (t) => {
  const issues = parse("- {kind: vm, name: a}\n- {kind: vm, name: a}")._unsafeUnwrapErr();
  t.match(issues, [{ path: "[1]", line: 2, message: /twice/ }]);
});

tap.test(
  "invalid YAML, an empty document and an alias bomb are errors and do not throw",
  async (t) => {
    t.match(parse("- {kind: vm")._unsafeUnwrapErr()[0], { line: 1 });
    t.match(parse("")._unsafeUnwrapErr()[0], { message: "the document holds no items" });
    const level = (name: string, of: string): string =>
      `${name}: &${name} [${`*${of},`.repeat(20)}]`;
    const bomb = ["a: &a [1,2]", level("b", "a"), level("c", "b"), level("d", "c")].join("\n");
    t.ok(parse(bomb).isErr());
  },
);

tap.test("no input makes the parser throw", async (t) => {
  const fragments = fc.constantFrom(
    "kind: ",
    "- ",
    "vm",
    "\n",
    "  ",
    "{",
    "&a ",
    "*a",
    "---\n",
    ": ",
  );
  const text = fc.oneof(
    fc.string(),
    fc.array(fragments).map((parts) => parts.join("")),
  );
  fc.assert(
    fc.property(text, (value) => parse(value).isOk() || parse(value).isErr()),
    { seed: 5, numRuns: 1_000 },
  );
  t.pass();
});
