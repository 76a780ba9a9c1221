import tap from "tap";

import * as dispatch from "../index.js";

tap.test("the ratio of outputs to hints is learned for each route", async (t) => {
  const lengths = new dispatch.OutputLengths();
  for (let index = 0; index < 300; index += 1) lengths.recordLength("long", 100, 200);
  t.ok(Math.abs(lengths.ratioOf("long") - 2) < 0.05);
  t.ok(lengths.ratioOf("other") < 1.5);
});

tap.test(
  "an outlier changes the ratio little, and an output without a hint not at all",
  async (t) => {
    const lengths = new dispatch.OutputLengths();
    const beforeRatio = lengths.ratioOf("r");
    lengths.recordLength("r", 1, 10_000);
    t.ok(lengths.ratioOf("r") < beforeRatio + 0.3);
    lengths.recordLength("q", null, 500);
    t.equal(lengths.ratioOf("q"), beforeRatio);
  },
);
