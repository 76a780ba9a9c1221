import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as callerRequests from "../../../standins/platform/callerRequest/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

/** Longer than any timer of Node, which runs one of a longer delay at once. */
const HUGE_MS = 1e12;

// Guards against calls that time out at once because operators or callers allow them very long.
tap.test("calls with a huge timeout are served", async (t) => {
  const fleet = await testFleets.startFleet(t);
  fleet.configure({
    routes: ["lookup", "file"].map((name) => ({
      ...{
        name,
        host: callerRequests.HOST,
        path_prefix: `/${name}/`,
        priority: 1,
        max_attempts: 2,
      },
      kind: name === "lookup" ? "idempotent" : "non_idempotent",
      ...{ service: gatewayFleets.PLAIN_SERVICE, timeout_ms: HUGE_MS, target_latency_ms: HUGE_MS },
    })),
    limits: {
      ...{ max_header_bytes: 16_384, max_body_bytes: 65_536 },
      ...{ header_timeout_ms: HUGE_MS, idle_timeout_ms: HUGE_MS },
    },
  });
  await testFleets.addReadyGateways(fleet, 1);
  await fleet.addServer("s1", gatewayFleets.PLAIN_SERVICE, backendServers.answerLater("x", 50));
  await testFleets.waitUntilServersKnown(fleet, 1);
  for (const timeLeftMs of [undefined, HUGE_MS, Number.MAX_VALUE]) {
    const options = timeLeftMs === undefined ? {} : { timeLeftMs };
    const lookup = await fleet.call({ path: "/lookup/1", id: `l-${timeLeftMs}`, ...options });
    const filing = { path: "/file/1", method: "POST", id: `f-${timeLeftMs}`, body: "x" };
    const file = await fleet.call({ ...filing, ...options });
    t.same([lookup.status, file.status], [200, 200], `${timeLeftMs} ms`);
  }
});
