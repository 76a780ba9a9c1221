import * as fc from "fast-check";
import tap from "tap";

import * as divide from "./index.js";

const ROUNDING = 1e-9;
const demandLists = fc.array(fc.double({ min: 0, max: 1e6, noNaN: true }), {
  minLength: 1,
  maxLength: 30,
});
const totals = fc.double({ min: 0, max: 1e6, noNaN: true });

function sumOf(parts: readonly number[]): number {
  return parts.reduce((sum, part) => sum + part, 0);
}

tap.test("the parts sum up to the total, and none is negative", async (t) => {
  fc.assert(
    fc.property(totals, demandLists, (total, demands) => {
      const parts = divide.divideByDemand(total, demands);
      const error = Math.abs(sumOf(parts) - total);
      return parts.every((part) => part >= 0) && error <= ROUNDING * (1 + total);
    }),
    { seed: 65 },
  );
  t.pass();
});

tap.test("integer parts sum up to an integer total, and none is negative", async (t) => {
  fc.assert(
    fc.property(fc.nat(1_000), demandLists, (total, demands) => {
      const parts = divide.divideWholeByDemand(total, demands);
      return parts.every((part) => Number.isInteger(part) && part >= 0) && sumOf(parts) === total;
    }),
    { seed: 66 },
  );
  t.pass();
});

tap.test("small demands are met completely and large ones divide the remainder", async (t) => {
  t.same(divide.divideByDemand(10, [1, 20, 20]), [1, 4.5, 4.5]);
});

tap.test("the total in excess of all demands is divided evenly", async (t) => {
  t.same(divide.divideByDemand(10, [1, 3]), [4, 6]);
  t.same(divide.divideWholeByDemand(3, [0, 0]), [2, 1]);
});
