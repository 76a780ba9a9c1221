import * as path from "node:path";

import tap from "tap";

import * as decoders from "./index.js";

// The properties themselves run as the tests that they are.
tap.test("the properties beside the decoders are found", async (t) => {
  const names = decoders
    .listPropertyFiles()
    .map((file) => path.basename(path.resolve(file, "../..")));
  t.ok(names.includes("platform") && names.includes("sharedView"), names.join(", "));
});
