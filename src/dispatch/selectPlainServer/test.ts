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
    admissionDelayMs: 0,
    ...overrides,
  };
}

function choose(
  servers: readonly dispatch.PlainCandidate[],
  overrides: { readonly avoidedIds?: ReadonlySet<string>; readonly failureWeight?: number } = {},
): string | undefined {
  return dispatch.selectPlainServer(servers, {
    dataCentre: "dc-a",
    avoidedIds: new Set(),
    failureWeight: 2,
    random: randoms.createRandom(1),
    ...overrides,
  })?.serverId;
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
