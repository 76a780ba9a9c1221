import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as oddEntries from "../_lib/oddEntries/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Time within which a new entry has to be used. */
const ENTRY_APPLY_MS = 2_000;

// Guards against an entry of another writer that ends every process that reads it, or that keeps those beside it
// from being followed.
tap.test("odd entries among those of the servers change nothing for the others", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 2);
  const other = await fleet.addServer("other", "another service", backendServers.refuse());
  const stream = backendServers.stream({ eventsCount: 3, gapMs: 5 });
  await fleet.addServer("e1", ENGINE_SERVICE, stream);
  await fleet.addServer("p0", PLAIN_SERVICE, backendServers.answerCompletely("p0"));
  const odd = Object.entries(oddEntries.listOddEntries(other.port));
  for (const [index, [name, { key, value }]] of odd.entries()) {
    fleet.store.put("keyed.servers", key, value);
    const id = `p${index + 1}`;
    await fleet.addServer(id, PLAIN_SERVICE, backendServers.answerCompletely(id));
    const addedAtMs = Date.now();
    const isUsed = async (gatewayIndex: number): Promise<boolean> =>
      (await fleet.call({ path: "/file/", method: "POST", body: "x" }, gatewayIndex)).body === id;
    for (const gatewayIndex of [0, 1]) {
      await testFleets.waitUntil(() => isUsed(gatewayIndex));
      const draft = { ...testFleets.DRAFT_REQUEST, path: "/draft/" };
      t.match(await fleet.call(draft, gatewayIndex), { status: 200, isComplete: true });
    }
    t.ok(Date.now() - addedAtMs < ENTRY_APPLY_MS, `the next entry is used after ${name}`);
    fleet.store.put("keyed.servers", `p${index}`, null);
  }

  // Under keys of their own, so that the VM that starts next reads all odd entries in one listing.
  for (const [index, [, { key, value }]] of odd.entries())
    fleet.store.put("keyed.servers", key === "odd" ? `odd-${index}` : key, value);
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady(2));
  for (let index = 0; index < 20; index += 1) {
    const answer = await fleet.call({ path: "/file/", method: "POST", body: "x" }, 2);
    t.match(answer, { status: 200, body: `p${odd.length}` });
  }
  t.equal(other.calls.length, 0, "nothing was sent to an address that an odd entry names");
});

// Guards against sound servers that count as replaced, as another writer names their address with a later start.
tap.test("entries of no known service put no server aside that has their address", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 1);
  const server = await fleet.addServer("p0", PLAIN_SERVICE, backendServers.answerCompletely("p0"));
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  const { value } = oddEntries.listOddEntries(server.port)["a long key"] as { value: object };
  const odd = { ...value, service: "elsewhere", born: Date.now() + 60_000 };
  fleet.store.put("keyed.servers", "odd", odd);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("p1"));
  await testFleets.waitUntilServersKnown(fleet, 2);
  fleet.store.put("keyed.servers", "p1", null);
  for (const index of [0, 1]) {
    if (index === 1) await fleet.addGateway();
    await testFleets.waitUntil(() => fleet.isReady(index));
    const answer = await fleet.call({ path: "/file/", method: "POST", body: "x" }, index);
    t.match(answer, { status: 200 }, `gateway ${index}`);
  }
});
