import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as callerRequests from "../../../standins/platform/callerRequest/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as gatewayConfigurations from "../../../standins/platform/gatewayConfiguration/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { PLAIN_SERVICE } = gatewayFleets;
const { LogEvent } = diagnostics;

/** Callers may have as much time, and a timer may not last as long. */
const LONG_MS = 5_000_000_000;

const LOOKUP = { path: "/lookup/", id: "a", timeLeftMs: LONG_MS };

// Guards against a timer that is over at once because its delay is more than a timer can hold.
tap.test("a route without a practical bound on its time serves its calls", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("ok"));
  fleet.configure({ ...gatewayConfigurations.createConfiguration({}, { timeout_ms: LONG_MS }) });
  await waitUntilTaken(fleet, 2);
  await testFleets.waitUntilServersKnown(fleet, 1);
  t.match(await fleet.call(LOOKUP), { status: 200, body: "ok" });
});

// Guards against an account that no call can name to a server, and that keeps other accounts from being followed.
tap.test("accounts that no header can name are left out, and the others are served", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("ok"));
  const oddNames = ["серверў", "a\r\nX-Urgency-Class: 0", "a\0b", "k".repeat(201)];
  const odd = oddNames.map((name, index) => ({ name, api_keys: [`odd-${index}`] }));
  fleet.configure({ tenants: [...odd, { name: "acme", api_keys: [callerRequests.API_KEY] }] });
  await waitUntilTaken(fleet, 2);
  await testFleets.waitUntilServersKnown(fleet, 1);
  t.match(await fleet.call({ ...LOOKUP, timeLeftMs: 5_000 }), { status: 200, body: "ok" });
  for (const { name, api_keys: keys } of odd) {
    const answer = await fleet.call({ ...LOOKUP, timeLeftMs: 5_000, apiKey: keys[0] ?? null });
    t.equal(answer.status, 401, `a key of the account ${JSON.stringify(name.slice(0, 30))}`);
  }
  const lines = fleet.log.lines.filter(({ event }) => event === LogEvent.StoreRecordUnreadable);
  t.match(lines, [{ fields: { key: "config", cause: /tenants\[0\].*tenants\[3\]/ } }]);
  t.equal(lines.length, 1, "logged once");
});

async function waitUntilTaken(fleet: gatewayFleets.GatewayFleet, version: number): Promise<void> {
  await testFleets.waitUntil(() =>
    fleet.log.lines.some(
      ({ event, fields }) => event === LogEvent.ConfigurationTaken && fields.version === version,
    ),
  );
}
