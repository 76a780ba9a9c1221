import tap, { type Test } from "tap";

import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";
import * as serverNetworks from "../../../../standins/platform/serverNetwork/index.js";
import * as testFleets from "../../_lib/testFleet/index.js";

const FILE = { path: "/file/", method: "POST", body: "permit" };

/** Time for which a call runs when the VM that carries its tunnel is told to stop. */
const WORK_MS = 1_500;

/** Starts two gateways, of which the first reaches servers only through the second. */
async function startFleet(
  t: Test,
): Promise<{ fleet: gatewayFleets.GatewayFleet; server: backendServers.BackendServer }> {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 2);
  const server = await fleet.addServer(
    "p1",
    gatewayFleets.PLAIN_SERVICE,
    backendServers.answerCompletely("x"),
  );
  await testFleets.waitUntilServersKnown(fleet, 2);
  fleet.network.cut("vm-1", { mode: serverNetworks.CutMode.Refuse, resetsOpen: true });
  await testFleets.waitUntil(() => testFleets.isLookupServed(fleet));
  return { fleet, server };
}

async function stopPeer(fleet: gatewayFleets.GatewayFleet): Promise<void> {
  await fleet.gateways[1]?.stop();
  await fleet.gateways[1]?.[Symbol.asyncDispose]();
}

// Guards against calls that are lost as the VM that carries their tunnel stops.
tap.test("a stopping VM waits for the calls in the tunnels that it carries", async (t) => {
  const { fleet, server } = await startFleet(t);
  server.setBehaviour(async (call, response, self) => {
    self.runs.push(call.id);
    await new Promise((resolve) => setTimeout(resolve, WORK_MS));
    backendServers.sendAnswer("done", call, response, self);
  });
  const call = fleet.call({ ...FILE, id: "carried" });
  await testFleets.waitUntil(() => server.runs.includes("carried"));
  const stopped = stopPeer(fleet);
  t.match(await call, { status: 200, body: "done", isComplete: true });
  await stopped;
});

// Guards against callers that hear nothing of a call whose tunnel was cut off.
tap.test("a call in a tunnel that is cut off at the end gets an answer", async (t) => {
  const { fleet, server } = await startFleet(t);
  server.setBehaviour(backendServers.neverAnswer());
  const call = fleet.call({ ...FILE, id: "carried" });
  await testFleets.waitUntil(() => server.runs.includes("carried"));
  await stopPeer(fleet);
  t.match(
    await call,
    { status: 502, isComplete: true },
    "it may have run, so that it promises nothing",
  );
  t.same(
    server.runs.filter((id) => id === "carried"),
    ["carried"],
    "it is not repeated",
  );
});
