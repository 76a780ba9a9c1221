import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as platformLogStores from "../../../standins/platform/logStore/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { API_KEY, PLAIN_SERVICE } = gatewayFleets;

tap.test(
  "a lookup is forwarded with account, deadline and server id, but without the API key",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer(
      "s1",
      PLAIN_SERVICE,
      backendServers.answerCompletely("found"),
    );
    await testFleets.waitUntil(
      async () => (await fleet.call({ path: "/lookup/7?x=1" })).status === 200,
    );
    const answer = await fleet.call({ path: "/lookup/7?x=1", headers: { "X-Tenant": "forged" } });
    t.equal(answer.body, "found");
    const { target, headers = {} } = server.calls.at(-1) ?? {};
    t.equal(target, "/lookup/7?x=1");
    t.equal(headers["x-key"], undefined);
    t.equal(headers["x-tenant"], "acme");
    t.equal(headers["x-expect-instance"], "s1");
    t.ok(Number(headers["x-deadline-ms"]) <= 20_000);
  },
);

tap.test(
  "status is 404 without a route, 401 for an unknown key, 503 before any configuration",
  async (t) => {
    const fleet = await testFleets.startFleet(t);
    await fleet.addGateway();
    t.equal((await fleet.call({ path: "/lookup/" })).status, 503);
    t.notOk(await fleet.isReady());
    fleet.configure();
    await testFleets.waitUntil(() => fleet.isReady());
    t.equal((await fleet.call({ path: "/nowhere/" })).status, 404);
    t.equal((await fleet.call({ path: "/lookup/", apiKey: "other" })).status, 401);
    t.equal((await fleet.call({ path: "/lookup/", apiKey: null })).status, 401);
  },
);

tap.test("an idempotent call is retried on another server after a failure", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const failing = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.resetWithoutAnswer());
  await fleet.addServer("s2", PLAIN_SERVICE, backendServers.answerCompletely("found"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  for (let index = 0; failing.runs.length === 0 && index < 200; index += 1) {
    const answer = await fleet.call({ path: "/lookup/", id: `l${index}` });
    t.equal(answer.status, 200);
  }
  t.ok(failing.runs.length > 0, "the failing server was tried");
});

tap.test(
  "an idempotent call is executed on at most as many servers as its route allows",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const names = ["s1", "s2", "s3", "s4"];
    const servers = await Promise.all(
      names.map((name) =>
        fleet.addServer(name, PLAIN_SERVICE, backendServers.answerCompletely("error", 500)),
      ),
    );
    await testFleets.waitUntil(async () => {
      await fleet.call({ path: "/lookup/", id: "probe" });
      return servers.every((server) => server.runs.length > 0);
    });
    for (let index = 0; index < 20; index += 1) {
      const id = `l${index}`;
      const answer = await fleet.call({ path: "/lookup/", id });
      t.equal(answer.status, 500, "the server's failure is forwarded");
      const ranAt = servers.filter((server) => server.runs.includes(id));
      t.ok(ranAt.length <= 2, `${id} ran at ${ranAt.length} servers`);
    }
  },
);

tap.test(
  "a once-only call whose answer is lost is not retried, and answered as unknown outcome",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer(
      "s1",
      PLAIN_SERVICE,
      backendServers.answerCompletely("filed"),
    );
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
    server.setBehaviour(backendServers.resetWithoutAnswer());
    const answer = await fleet.call({ path: "/file/", method: "POST", id: "f1", body: "form" });
    t.equal(answer.status, 502);
    t.equal(server.runs.filter((id) => id === "f1").length, 1);
  },
);

tap.test("a once-only call that a server did not execute is sent to another one", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const full = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.refuse());
  const free = await fleet.addServer("s2", PLAIN_SERVICE, backendServers.answerCompletely("filed"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  for (let index = 0; index < 10; index += 1) {
    const id = `f${index}`;
    const answer = await fleet.call({ path: "/file/", method: "POST", id, body: "form" });
    t.equal(answer.status, 200);
    t.equal(free.runs.filter((run) => run === id).length, 1);
  }
  t.ok(full.calls.length > 0, "the full server was called");
});

tap.test("a refused call was not executed and its refusal has a retry delay", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const full = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.refuse());
  await testFleets.waitUntil(async () => {
    await fleet.call({ path: "/file/", method: "POST", body: "x" });
    return full.calls.length > 0;
  });
  const answer = await fleet.call({ path: "/file/", method: "POST", id: "f1", body: "form" });
  t.equal(answer.status, 503);
  t.ok(Number(answer.headers["retry-after"]) > 0);
  t.equal(full.runs.length, 0);
});

tap.test(
  "an unframed answer truncated by a connection reset is not forwarded as complete",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
    server.setBehaviour(backendServers.resetMidAnswer("only a part"));
    for (let index = 0; index < 10; index += 1) {
      const answer = await fleet.call({
        path: "/file/",
        method: "POST",
        id: `f${index}`,
        body: "x",
      });
      t.equal(answer.status, 502);
    }
  },
);

tap.test(
  "an idempotent call that may have been executed is not answered as not executed",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
    server.setBehaviour(backendServers.resetWithoutAnswer());
    const answer = await fleet.call({ path: "/lookup/", id: "l1" });
    t.ok(server.runs.includes("l1"));
    t.equal(answer.status, 502);
  },
);

tap.test("a call is answered at its route's timeout", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const server = await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  server.setBehaviour(backendServers.neverAnswer());
  t.equal((await fleet.call({ path: "/short/" })).status, 504);
});

tap.test("a server that announced its shutdown gets no more calls", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  const leaving = await fleet.addServer(
    "s1",
    PLAIN_SERVICE,
    backendServers.answerCompletely("old"),
  );
  await fleet.addServer("s2", PLAIN_SERVICE, backendServers.answerCompletely("new"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  fleet.register(leaving, PLAIN_SERVICE, "draining");
  const { ServerLeaving } = diagnostics.LogEvent;
  await testFleets.waitUntil(() => fleet.log.lines.some(({ event }) => event === ServerLeaving));
  const countBefore = leaving.calls.length;
  for (let index = 0; index < 20; index += 1) {
    t.equal((await fleet.call({ path: "/lookup/", id: `l${index}` })).body, "new");
  }
  t.equal(leaving.calls.length, countBefore);
});

tap.test("calls with a key are refused when the configuration is too old", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  fleet.store.setMode(platformLogStores.StoreMode.Silent);
  await testFleets.waitUntil(async () => !(await fleet.isReady()));
  const refused = await fleet.call({ path: "/lookup/" });
  t.equal(refused.status, 503);
  t.ok(Number(refused.headers["retry-after"]) > 0);
  fleet.configure({ tenants: [{ name: "acme", api_keys: ["key-2"] }] });
  fleet.store.setMode(platformLogStores.StoreMode.Serves);
  await testFleets.waitUntil(async () => (await fleet.call({ path: "/lookup/" })).status === 401);
  t.equal((await fleet.call({ path: "/lookup/", apiKey: "key-2" })).status, 200);
});

tap.test("a gateway continues after the store has compacted its log", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  fleet.store.compact("keyed.op");
  fleet.store.compact("keyed.servers");
  fleet.configure({ tenants: [{ name: "acme", api_keys: ["key-2"] }] });
  await testFleets.waitUntil(
    async () => (await fleet.call({ path: "/lookup/", apiKey: "key-2" })).status === 200,
  );
  t.equal((await fleet.call({ path: "/lookup/", apiKey: API_KEY })).status, 401);
});

tap.test(
  "malformed records in the store are ignored and do not affect other records",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
    fleet.store.put("keyed.servers", "foreign", "not json");
    fleet.store.put("keyed.servers", "partial", { service: PLAIN_SERVICE, address: 7 });
    fleet.store.put("keyed.op", "other", "not a configuration");
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
    t.equal((await fleet.call({ path: "/lookup/" })).status, 200);
  },
);

tap.test(
  "a stopping VM answers every call that a server executed, until its shutdown ends",
  async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const server = await fleet.addServer("s1", PLAIN_SERVICE, async (call, response, self) => {
      self.runs.push(call.id);
      await new Promise((resolve) => setTimeout(resolve, 25));
      response.writeHead(200, self.createAnswerHeaders(call)).end("x");
    });
    await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
    const answeredIds = new Set<string>();
    const calls: Promise<unknown>[] = [];
    const callingEnded = new AbortController();
    const calling = (async () => {
      for (let index = 0; !callingEnded.signal.aborted; index += 1) {
        const id = `f${index}`;
        const call = fleet.call({ path: "/file/", method: "POST", id, body: "x" });
        calls.push(call.then(() => answeredIds.add(id)).catch(() => null));
        await new Promise((resolve) => setTimeout(resolve, 35));
      }
    })();
    // The VM's last call to the store gets no answer, which delays the end of its shutdown.
    fleet.store.setMode(platformLogStores.StoreMode.LosesAnswers);
    await fleet.gateways[0]?.stop();
    await fleet.gateways[0]?.[Symbol.asyncDispose]();
    callingEnded.abort();
    await calling;
    await Promise.all(calls);
    const unansweredIds = server.runs.filter((id) => id.startsWith("f") && !answeredIds.has(id));
    t.same(unansweredIds, []);
  },
);

tap.test("two VMs detect each other, and both serve calls to a server", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady(1));
  await fleet.addServer("s1", PLAIN_SERVICE, backendServers.answerCompletely("x"));
  await testFleets.waitUntil(
    async () => (await fleet.call({ path: "/lookup/" }, 1)).status === 200,
  );
  const { PeerUp } = diagnostics.LogEvent;
  await testFleets.waitUntil(
    () => fleet.log.lines.filter(({ event }) => event === PeerUp).length >= 2,
  );
  t.equal((await fleet.call({ path: "/lookup/" }, 0)).status, 200);
});
