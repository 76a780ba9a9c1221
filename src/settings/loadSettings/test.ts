import * as fs from "node:fs";

import tap from "tap";

import * as formatSettingsErrors from "../formatSettingsErrors/index.js";
import * as loadSettings from "./index.js";

const EXAMPLES = ["examples/varahoidja/tln-a-1.yaml", "examples/gauja/riga-a-1.yaml"];

for (const path of EXAMPLES) {
  tap.test(`the example ${path} is valid`, async (t) => {
    const result = await loadSettings.loadSettings(path);
    const problems = result.isErr() ? formatSettingsErrors.formatSettingsErrors(result.error) : "";
    t.equal(problems, "");
  });

  tap.test(`a misspelt field in ${path} is refused`, async (t) => {
    const text = fs.readFileSync(path, "utf8").replace("peerPort", "peersPort");
    const copy = `${t.testdir({ "vm.yaml": text })}/vm.yaml`;
    const result = await loadSettings.loadSettings(copy);
    t.match(result._unsafeUnwrapErr(), [{ path: "vm.peersPort", expected: "a known field" }]);
  });
}

tap.test("a missing file is reported as one problem", async (t) => {
  const result = await loadSettings.loadSettings("examples/none.yaml");
  t.match(result._unsafeUnwrapErr(), [{ expected: "a readable file", found: /ENOENT/ }]);
});
