import * as fastCheck from "fast-check";
import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as constants from "../constants.js";
import * as dispatch from "../index.js";

const NOW_MS = 1_000;

/** The generations that a VM dispatches when all VMs hold the same queue. */
function dispatchedBy(
  queue: readonly dispatch.FleetWaiting[],
  engines: readonly dispatch.EngineCandidate[],
  vmName: string,
): readonly string[] {
  const ordered = dispatch.orderWaiting(queue, NOW_MS);
  const allocated = dispatch.allocateCapacity(ordered, engines, NOW_MS);
  return [...allocated.keys()]
    .filter((waiting) => waiting.vmName === vmName)
    .map(({ requestId }) => requestId);
}

tap.test("VMs with the same queue do not overload an engine that has just started", async (t) => {
  // Twelve prompts wait at twelve VMs while all engines are full, and a new engine starts.
  const queue = Array.from({ length: 12 }, (_, index) =>
    fixtures.waiting({
      requestId: `r${index}`,
      vmName: `vm-${index}`,
      enqueuedAtWallMs: index,
      objectiveAtWallMs: NOW_MS + 500 + index,
    }),
  );
  const full = fixtures.engine({ serverId: "full", committedTokens: 33_000, runningCount: 9 });
  const started = fixtures.engine({ serverId: "started", memoryTokens: 21_790 });
  const dispatchedCount = queue
    .map(({ vmName }) => dispatchedBy(queue, [full, started], vmName).length)
    .reduce((sum, count) => sum + count, 0);
  const fittingCount = Math.floor(
    (constants.MAX_COMMITTED_RATIO * started.memoryTokens) /
      dispatch.estimateTokens(fixtures.need()),
  );
  t.equal(dispatchedCount, fittingCount);
  t.same(
    dispatchedBy(queue, [full, started], "vm-0"),
    ["r0"],
    "the first generation in the queue is dispatched",
  );
  t.same(dispatchedBy(queue, [full, started], "vm-11"), [], "the last generation keeps waiting");
});

tap.test("generations are spread over the engines with capacity", async (t) => {
  const queue = ["a", "b", "c", "d"].map((requestId) => fixtures.waiting({ requestId }));
  const engines = [fixtures.engine(), fixtures.engine({ serverId: "e2" })];
  const allocated = dispatch.allocateCapacity(dispatch.orderWaiting(queue, 0), engines, 0);
  const counts = new Map<string, number>();
  for (const { serverId } of allocated.values()) {
    counts.set(serverId, (counts.get(serverId) ?? 0) + 1);
  }
  t.same([...counts.values()], [2, 2]);
});

tap.test(
  "a long run waits for capacity in its data centre before another one is used",
  async (t) => {
    const near = fixtures.engine({ serverId: "near", committedTokens: 33_000, runningCount: 9 });
    const far = fixtures.engine({ serverId: "far", dataCentre: "dc-b" });
    const longNeed = fixtures.need({ expectedOutputTokens: 750 });
    const costMs = dispatch.computeDistanceCostMs(longNeed);
    const selectedAfter = (waitedMs: number, need = longNeed): string | undefined => {
      const waiting = fixtures.waiting({ need, enqueuedAtWallMs: NOW_MS - waitedMs });
      return dispatch.allocateCapacity([waiting], [near, far], NOW_MS).get(waiting)?.serverId;
    };
    t.equal(selectedAfter(costMs - 1), undefined);
    t.equal(selectedAfter(costMs), "far");
    t.equal(
      selectedAfter(100, fixtures.need({ expectedOutputTokens: 10 })),
      "far",
      "a short run uses the other data centre sooner",
    );
    t.ok(costMs < 900, "at most half of the objective of long runs, 1.8 s");
  },
);

tap.test("a large generation that has waited long reserves exactly one engine", async (t) => {
  const large = fixtures.waiting({
    requestId: "large",
    need: fixtures.need({ promptTokens: 12_000 }),
    enqueuedAtWallMs: NOW_MS - constants.BYPASS_LIMIT_MS,
    objectiveAtWallMs: NOW_MS,
  });
  const small = ["s1", "s2"].map((requestId) =>
    fixtures.waiting({ requestId, enqueuedAtWallMs: NOW_MS, objectiveAtWallMs: NOW_MS + 1_800 }),
  );
  const emptier = fixtures.engine({
    serverId: "emptier",
    committedTokens: 21_000,
    runningCount: 6,
  });
  const fuller = fixtures.engine({ serverId: "fuller", committedTokens: 26_000, runningCount: 7 });
  const ordered = dispatch.orderWaiting([large, ...small], NOW_MS);
  const allocated = dispatch.allocateCapacity(ordered, [emptier, fuller], NOW_MS);
  t.same(
    [...allocated].map(([{ requestId }, { serverId }]) => [requestId, serverId]),
    [["s1", "fuller"]],
  );
});

tap.test("no allocation exceeds the memory limit of an engine", async (t) => {
  const arbitraryTokens = fastCheck.integer({ min: 100, max: 6_000 });
  await fastCheck.assert(
    fastCheck.asyncProperty(
      fastCheck.array(arbitraryTokens, { maxLength: 30 }),
      fastCheck.array(fastCheck.integer({ min: 0, max: 30_000 }), { minLength: 1, maxLength: 4 }),
      async (prompts, committed) => {
        const queue = prompts.map((promptTokens, index) =>
          fixtures.waiting({
            requestId: `r${index}`,
            enqueuedAtWallMs: index,
            need: fixtures.need({ promptTokens, unreadTokens: promptTokens }),
          }),
        );
        const engines = committed.map((committedTokens, index) =>
          fixtures.engine({ serverId: `e${index}`, committedTokens, runningCount: 1 }),
        );
        const totals = new Map(engines.map((engine) => [engine.serverId, engine.committedTokens]));
        const allocated = dispatch.allocateCapacity(dispatch.orderWaiting(queue, 0), engines, 0);
        for (const [{ need }, { serverId }] of allocated) {
          totals.set(serverId, (totals.get(serverId) ?? 0) + dispatch.estimateTokens(need));
        }
        for (const { serverId, committedTokens, memoryTokens } of engines) {
          const limitTokens = Math.max(
            committedTokens,
            constants.MAX_COMMITTED_RATIO * memoryTokens,
          );
          t.ok((totals.get(serverId) ?? 0) <= limitTokens + 1e-6);
        }
      },
    ),
    { seed: 11, numRuns: 200 },
  );
});

/** Full engines of the two data centres with a wave of load, and free ones of two others. */
function unevenDataCentres(): readonly dispatch.EngineCandidate[] {
  const need = fixtures.need();
  const full = { committedTokens: 33_000, runningCount: 9 };
  const limitTokens = constants.MAX_COMMITTED_RATIO * fixtures.engine().memoryTokens;
  const engineWith = (serverId: string, dataCentre: string, freeRunsCount: number) =>
    fixtures.engine({
      serverId,
      dataCentre,
      committedTokens: limitTokens - (freeRunsCount + 0.5) * dispatch.estimateTokens(need),
      runningCount: 1,
    });
  return [
    fixtures.engine({ ...full, serverId: "a1", dataCentre: "dc-a" }),
    fixtures.engine({ ...full, serverId: "b1", dataCentre: "dc-b" }),
    engineWith("c1", "dc-c", 4),
    engineWith("c2", "dc-c", 4),
    engineWith("d1", "dc-d", 4),
  ];
}

/** A wave of generations from two data centres, which have waited for 200 ms. */
function wave(count: number): readonly dispatch.FleetWaiting[] {
  return Array.from({ length: count }, (_, index) =>
    fixtures.waiting({
      requestId: `r${index}`,
      vmName: `vm-${index}`,
      need: fixtures.need({ dataCentre: index % 2 === 0 ? "dc-a" : "dc-b" }),
      enqueuedAtWallMs: NOW_MS - 200,
    }),
  );
}

tap.test("the overflow of two data centres is shared by the others' free memory", async (t) => {
  const ordered = dispatch.orderWaiting(wave(6), NOW_MS);
  const allocated = dispatch.allocateCapacity(ordered, unevenDataCentres(), NOW_MS);
  const dataCentres = [...allocated.values()].map(({ dataCentre }) => dataCentre);
  t.equal(dataCentres.filter((name) => name === "dc-c").length, 4, "two thirds of the free memory");
  t.equal(dataCentres.filter((name) => name === "dc-d").length, 2);
});

tap.test("during a cut each data centre keeps its generations, also with a wave", async (t) => {
  const ordered = dispatch.orderWaiting(wave(6), NOW_MS);
  const cutFromA = unevenDataCentres().map((engine) => {
    return { ...engine, isPartitioned: engine.dataCentre !== "dc-a" };
  });
  t.equal(dispatch.allocateCapacity(ordered, cutFromA, NOW_MS).size, 0);
  const relieved = cutFromA.map((engine) =>
    engine.serverId === "a1" ? { ...engine, committedTokens: 20_000, runningCount: 5 } : engine,
  );
  const allocated = dispatch.allocateCapacity(ordered, relieved, NOW_MS);
  t.ok(allocated.size > 0);
  t.ok([...allocated.values()].every(({ dataCentre }) => dataCentre === "dc-a"));
});

tap.test("a fast engine elsewhere is used at once, instead of one with long pauses", async (t) => {
  const pausing = fixtures.engine({ serverId: "near", smoothRunsCount: 0, writingRatio: 1.4 });
  const fast = fixtures.engine({ serverId: "far", dataCentre: "dc-b", writingRatio: 0.6 });
  const selected = (need: dispatch.GenerationNeed): string | undefined => {
    const waiting = fixtures.waiting({ need, enqueuedAtWallMs: NOW_MS });
    return dispatch.allocateCapacity([waiting], [pausing, fast], NOW_MS).get(waiting)?.serverId;
  };
  t.equal(selected(fixtures.need()), "far");
  t.equal(selected(fixtures.need({ expectedOutputTokens: 8 })), "near", "short outputs stay");
});
