import * as fc from "fast-check";
import tap from "tap";

import * as catalogue from "../../catalogue/types.js";
import type * as types from "../types.js";
import * as victims from "./index.js";

function running(
  requestId: string,
  contextTokens: number,
  overrides: Partial<types.RunningGeneration> = {},
  requestClass = catalogue.RequestClass.Batch,
): types.RunningGeneration {
  const need = { requestId, class: requestClass } as types.GenerationNeed;
  return {
    need,
    startedAtMs: 0,
    contextTokens,
    producedTokens: contextTokens,
    lastTokenAtMs: 0,
    suspensionsCount: 0,
    ...overrides,
  };
}

tap.test("the smallest generation that frees enough memory is suspended alone", (t) => {
  const all = [running("small", 100), running("fit", 600), running("large", 4_000)];
  t.same(victims.selectVictims(all, 500), ["fit"]);
  t.same(victims.selectVictims(all, 5_000), ["large", "fit"]);
  t.end();
});

tap.test("batch work is suspended before streaming work", (t) => {
  const streaming = running("streaming", 1_000, {}, catalogue.RequestClass.Streaming);
  t.same(victims.selectVictims([streaming, running("report", 9_000)], 10), ["report"]);
  t.end();
});

tap.test(
  "nothing is suspended when no memory is needed, and one generation always keeps running",
  (t) => {
    t.same(victims.selectVictims([running("a", 100), running("b", 100)], 0), []);
    t.equal(victims.selectVictims([running("a", 100), running("b", 100)], 1_000).length, 1);
    t.end();
  },
);

tap.test("no generation is suspended again while another has fewer suspensions", (t) => {
  const generation = fc.record({
    contextTokens: fc.integer({ min: 1, max: 5_000 }),
    suspensionsCount: fc.integer({ min: 0, max: 3 }),
  });
  const property = fc.property(
    fc.array(generation, { maxLength: 30 }),
    fc.integer({ min: 1, max: 20_000 }),
    (drawn, tokensToFree) => {
      const all = drawn.map((item, index) => running(`r${index}`, item.contextTokens, item));
      const chosen = new Set(victims.selectVictims(all, tokensToFree));
      const suspended = all.filter((item) => chosen.has(item.need.requestId));
      const kept = all.filter((item) => !chosen.has(item.need.requestId));
      const most = Math.max(0, ...suspended.map((item) => item.suspensionsCount));
      return kept.every((item) => item.suspensionsCount >= most) || kept.length === 0;
    },
  );
  fc.assert(property, { seed: 1, numRuns: 300 });
  t.end();
});
