import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as burnRates from "../calculateBurnRate/index.js";
import * as burnRecorders from "../burnRecorder/index.js";
import * as types from "../types.js";
import * as merges from "./index.js";

const WALL_ORIGIN_MS = Date.UTC(2026, 5, 1);
const BOUND_MS = 50;

function findObjectives(): burnRecorders.EntryObjectives {
  return { owner: "o", objectives: { interTokenMs: BOUND_MS, targetRatio: 0.95 } };
}

/** Records two hours of random values, each on one of three VMs. */
function recordOnThreeVms(): {
  readonly reports: readonly (readonly types.BurnSeries[])[];
  readonly values: readonly { readonly atMs: number; readonly valueMs: number }[];
  readonly endMs: number;
} {
  const clock = new virtualClocks.VirtualClock(WALL_ORIGIN_MS);
  const random = randoms.createRandom(11);
  const recorders = [1, 2, 3].map(() => new burnRecorders.BurnRecorder(clock, findObjectives));
  const values: { atMs: number; valueMs: number }[] = [];
  const endMs = 2 * 3_600_000;
  for (let atMs = 0; atMs < endMs; atMs += 1_000) {
    clock.advanceToMs(atMs);
    const valueMs = 20 + 60 * random.next() ** 4;
    values.push({ atMs, valueMs });
    recorders[Math.floor(random.next() * 3)]?.observe(types.Measure.InterTokenMs, "draft", valueMs);
  }
  return { reports: recorders.map((recorder) => recorder.report()), values, endMs };
}

tap.test("merged windows equal a direct count over all values", (t) => {
  const { reports, values, endMs } = recordOnThreeVms();
  const [series] = merges.mergeBurn(reports);
  for (const counts of series?.windows ?? []) {
    const recent = values.filter((item) => item.atMs >= endMs - counts.windowMs);
    const badCount = recent.filter((item) => item.valueMs > BOUND_MS).length;
    t.equal(counts.badCount, badCount, `bad events in ${counts.windowMs} ms`);
    t.equal(counts.goodCount, recent.length - badCount);
  }
  t.equal(series?.windows.length, 3);
  t.end();
});

tap.test("merged quantiles equal those of all values within the histogram's precision", (t) => {
  const { reports, values, endMs } = recordOnThreeVms();
  const [series] = merges.mergeBurn(reports);
  const recent = values.filter((item) => item.atMs >= endMs - 3_600_000);
  const sorted = recent.map((item) => item.valueMs).sort((a, b) => a - b);
  const quantiles = merges.decodeQuantiles(series?.histogram ?? null, [50, 99]);
  for (const [index, ratio] of [0.5, 0.99].entries()) {
    const direct = sorted[Math.ceil(sorted.length * ratio) - 1] ?? 0;
    const merged = quantiles?.[index] ?? 0;
    t.ok(
      Math.abs(merged - direct) <= direct * 0.01 + 0.1,
      `${merged} ms is within the precision of ${direct} ms`,
    );
  }
  t.end();
});

tap.test("the result of a merge does not depend on the order of the VMs", (t) => {
  const { reports } = recordOnThreeVms();
  const forward = merges.mergeBurn(reports);
  const backward = merges.mergeBurn([...reports].reverse());
  t.same(forward[0]?.windows, backward[0]?.windows);
  t.same(forward[0]?.slots, backward[0]?.slots);
  t.end();
});

tap.test("the burn rate is the fraction of bad events over the error budget", (t) => {
  const counts = { windowMs: 300_000, goodCount: 90, badCount: 10 };
  t.ok(Math.abs(burnRates.calculateBurnRate(counts, 0.95) - 2) < 1e-9);
  t.equal(burnRates.calculateBurnRate({ ...counts, badCount: 0 }, 1), 0);
  t.equal(burnRates.calculateBurnRate(counts, 1), Infinity);
  t.end();
});
