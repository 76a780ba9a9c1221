import tap from "tap";

import * as catalogue from "../../catalogue/types.js";
import * as randoms from "../../_lib/random/index.js";
import * as types from "../types.js";
import * as selections from "./index.js";

const NEED: types.GenerationNeed = {
  requestId: "r",
  entryName: "e",
  accountName: "a",
  class: catalogue.RequestClass.Interactive,
  model: "m",
  version: "1",
  adapter: null,
  promptTokens: 100,
  prefixHashes: [],
  producedTokens: 0,
  maxTokens: 1_000,
  acceptedAtMs: 0,
  deadlineAtMs: 1_000_000,
};

function view(name: string, overrides: Partial<types.EngineView> = {}): types.EngineView {
  return {
    name,
    dataCentre: "tln-a",
    health: types.EngineHealth.Live,
    capacityTokens: 10_000,
    reservedTokens: 0,
    runningCount: 0,
    waitingCount: 0,
    stepTimeMs: 30,
    loadedModels: [{ model: "m", version: "1", adapters: ["x"] }],
    ageMs: 0,
    sentSinceTokens: 0,
    sentSinceCount: 0,
    ...overrides,
  };
}

function choose(
  views: readonly types.EngineView[],
  overrides: Partial<selections.SelectEngineOptions> = {},
  need = NEED,
): string | null {
  const options = { dataCentre: "tln-a", random: randoms.createRandom(1), ...overrides };
  return selections.selectEngine(need, views, options)?.engineName ?? null;
}

tap.test(
  "only engines that are neither dead nor leaving and have the model loaded are selected",
  (t) => {
    const views = [
      view("dead", { health: types.EngineHealth.Dead }),
      view("leaving", { health: types.EngineHealth.Leaving }),
      view("old", { loadedModels: [{ model: "m", version: "0", adapters: [] }] }),
      view("good", { reservedTokens: 9_000 }),
    ];
    t.equal(choose(views), "good");
    t.equal(choose(views, {}, { ...NEED, adapter: "y" }), null);
    t.equal(choose(views, { excludedNames: new Set(["good"]) }), null);
    t.end();
  },
);

tap.test("tokens sent since the view was made count as used", (t) => {
  const views = [view("a", { sentSinceTokens: 6_000 }), view("b", { reservedTokens: 3_000 })];
  t.equal(choose(views), "b");
  t.end();
});

tap.test("a suspect engine is selected only when no other can serve", (t) => {
  const suspect = view("suspect", { health: types.EngineHealth.Suspect });
  t.equal(choose([suspect, view("full", { reservedTokens: 9_000 })]), "full");
  t.equal(choose([suspect]), "suspect");
  t.end();
});

tap.test(
  "among equal engines, one in the own data centre or with the cached prefix is selected",
  (t) => {
    t.equal(choose([view("far", { dataCentre: "mrd-c" }), view("near")]), "near");
    const prefixLikelihoodOf = (name: string): number => (name === "warm" ? 1 : 0);
    t.equal(choose([view("cold"), view("warm")], { prefixLikelihoodOf }), "warm");
    t.end();
  },
);

tap.test("VMs with the same stale views spread over near-equal engines", (t) => {
  const views = ["a", "b", "c", "d"].map((name) => view(name));
  const counts = new Map<string, number>();
  for (let seed = 0; seed < 400; seed += 1) {
    const name = choose(views, { random: randoms.createRandom(seed) }) ?? "none";
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  t.equal(counts.size, 4);
  t.ok(Math.max(...counts.values()) < 160, JSON.stringify([...counts]));
  t.end();
});

tap.test(
  "a sample of very many engines yields a good one, and a single usable one is always found",
  (t) => {
    const crowded = Array.from({ length: 1_000 }, (_, index) =>
      view(`e${index}`, { reservedTokens: index % 2 === 0 ? 9_500 : 1_000 }),
    );
    const name = choose(crowded) ?? "";
    t.equal(Number(name.slice(1)) % 2, 1);
    const others = crowded.map((item) => ({ ...item, loadedModels: [] }));
    t.equal(choose([...others, view("rare")]), "rare");
    t.end();
  },
);

tap.test("long prompts and streaming work prefer different engines", (t) => {
  const views = [view("prompts", { prefillRatio: 0.6 }), view("drafts", { streamingCount: 8 })];
  const batch = { ...NEED, class: catalogue.RequestClass.Batch, promptTokens: 2_000 };
  t.equal(choose(views, {}, batch), "prompts");
  t.equal(choose(views, {}, { ...NEED, class: catalogue.RequestClass.Streaming }), "drafts");
  t.end();
});
