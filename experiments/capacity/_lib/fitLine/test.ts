import tap from "tap";

import * as fitLine from "./index.js";

tap.test("collinear points give their line exactly", async (t) => {
  const points = [0, 1, 2, 5].map((x) => ({ x, y: 3 * x + 7 }));
  t.same(fitLine.fitLine(points), { slope: 3, intercept: 7, rSquared: 1 });
});

tap.test("scattered points give the least-squares line", async (t) => {
  const points = [
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
    { x: 3, y: 3 },
  ];
  const line = fitLine.fitLine(points);
  t.ok(Math.abs(line.slope - 0.8) < 1e-9 && Math.abs(line.intercept - 0.3) < 1e-9);
  t.ok(Math.abs(line.rSquared - 0.64) < 1e-9);
});

tap.test("a single point is rejected with a RangeError", async (t) => {
  t.throws(() => fitLine.fitLine([{ x: 1, y: 1 }]), RangeError);
});
