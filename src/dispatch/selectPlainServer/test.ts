import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as dispatch from "../index.js";

function server(overrides: Partial<dispatch.PlainCandidate> = {}): dispatch.PlainCandidate {
  return {
    serverId: "s1",
    dataCentre: "dc-a",
    pendingCount: 0,
    failureRatio: 0,
    isPartitioned: false,
    typicalMs: 20,
    recentMs: 20,
    admissionDelayMs: 0,
    slotsCount: 1,
    fastMs: null,
    shareAfterRejections: 1,
    ...overrides,
  };
}

/** Positions of calls, over the whole range. */
const POSITIONS = Array.from({ length: 100 }, (_, index) => (index + 0.5) / 100);

/** Returns the servers that calls at all positions go to, joined; a single one if all choose alike. */
function choose(
  servers: readonly dispatch.PlainCandidate[],
  overrides: Partial<dispatch.PlainSelection> = {},
): string | undefined {
  const random = randoms.createRandom(1);
  const chosen = [true, false].flatMap((isContended) =>
    POSITIONS.map((position) => {
      const selection = { dataCentre: "dc-a", avoidedIds: new Set<string>(), failureWeight: 2 };
      return dispatch.selectPlainServer(servers, {
        ...selection,
        position,
        tolerableMs: 0,
        isContended,
        random,
        ...overrides,
      })?.serverId;
    }),
  );
  return chosen.every((id) => id === undefined) ? undefined : [...new Set(chosen)].join();
}

tap.test("a call is sent to the server with the least work in progress", async (t) => {
  const servers = [server({ serverId: "busy", pendingCount: 4 }), server({ serverId: "idle" })];
  t.equal(choose(servers), "idle");
});

tap.test("a retry avoids the servers that received the call while there are others", async (t) => {
  const servers = [server({ serverId: "first" }), server({ serverId: "second", pendingCount: 9 })];
  t.equal(choose(servers, { avoidedIds: new Set(["first"]) }), "second");
  t.equal(choose(servers.slice(0, 1), { avoidedIds: new Set(["first"]) }), "first");
});

tap.test("once-only calls avoid failing servers more strongly", async (t) => {
  const servers = [
    server({ serverId: "failing", failureRatio: 0.5 }),
    server({ serverId: "busy", pendingCount: 2 }),
  ];
  t.equal(choose(servers, { failureWeight: 1 }), "failing");
  t.equal(choose(servers, { failureWeight: 6 }), "busy");
});

tap.test("no server is selected from an empty list", async (t) => {
  t.equal(choose([]), undefined);
});
