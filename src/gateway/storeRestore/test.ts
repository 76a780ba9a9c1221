import tap, { type Test } from "tap";

import * as testFleets from "../_lib/testFleet/index.js";
import * as names from "../../../platform/names/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";

const { waitUntil } = testFleets;

/** Starts a fleet with one gateway and one plain server. */
async function startFleet(t: Test): Promise<gatewayFleets.GatewayFleet> {
  const fleet = await testFleets.startReadyFleet(t);
  const answer = backendServers.answerCompletely("found");
  await fleet.addServer("s1", gatewayFleets.PLAIN_SERVICE, answer);
  await waitUntil(() => testFleets.isLookupServed(fleet));
  return fleet;
}

/** Publishes a configuration that accepts only the given API key. */
function configureKey(fleet: gatewayFleets.GatewayFleet, apiKey: string): void {
  fleet.configure({ tenants: [{ name: "acme", api_keys: [apiKey] }] });
}

async function isAccepted(
  fleet: gatewayFleets.GatewayFleet,
  apiKey: string,
  index = 0,
): Promise<boolean> {
  return (await fleet.call({ path: "/lookup/", apiKey }, index)).status === 200;
}

tap.test("a change at an offset given out again after a restore is in force", async (t) => {
  const fleet = await startFleet(t);
  const copy = fleet.store.copy();
  configureKey(fleet, "lost");
  await waitUntil(() => isAccepted(fleet, "lost"));
  fleet.store.restore(copy);
  configureKey(fleet, "new");
  await waitUntil(() => isAccepted(fleet, "new"));
  t.notOk(await isAccepted(fleet, "lost"));
});

tap.test(
  "a change is in force after the restored log has regrown past the known end",
  async (t) => {
    const fleet = await startFleet(t);
    const copy = fleet.store.copy();
    configureKey(fleet, "lost-1");
    await waitUntil(() => isAccepted(fleet, "lost-1"));
    fleet.store.restore(copy);
    configureKey(fleet, "new");
    fleet.store.put(names.TOPIC_NAMES.configuration, "other", "x");
    fleet.store.put(names.TOPIC_NAMES.configuration, "other", "y");
    await waitUntil(() => isAccepted(fleet, "new"));
    t.notOk(await isAccepted(fleet, "lost-1"));
  },
);

tap.test("a change after two restores in a row is in force", async (t) => {
  const fleet = await startFleet(t);
  const copy = fleet.store.copy();
  configureKey(fleet, "lost-1");
  await waitUntil(() => isAccepted(fleet, "lost-1"));
  fleet.store.rewrite(fleet.store.restore(copy));
  fleet.store.restore(copy);
  configureKey(fleet, "new");
  await waitUntil(() => isAccepted(fleet, "new"));
  t.notOk(await isAccepted(fleet, "lost-1"));
});

tap.test("a version that the store has lost stays in force on a VM started later", async (t) => {
  const fleet = await startFleet(t);
  const copy = fleet.store.copy();
  configureKey(fleet, "lost");
  await waitUntil(() => isAccepted(fleet, "lost"));
  fleet.store.restore(copy);
  await fleet.addGateway();
  await waitUntil(() => fleet.isReady(1));
  await waitUntil(() => isAccepted(fleet, "lost", 1));
  t.notOk(await isAccepted(fleet, gatewayFleets.API_KEY, 1));
});
