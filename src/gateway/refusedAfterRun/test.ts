import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as crashingServers from "../_lib/crashingServers/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

/** Statuses that promise that a request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

const ENGINES_COUNT = 6;
const ATTEMPTS_COUNT = 4;
const CRASH_DELAY_MS = 20;

/** More than all retries of the test. */
const RETRY_SLACK_COUNT = 1_000;

// Guards against a 503, which promises that a request was not executed, for a stream that has crashed an engine.
tap.test("a resumable stream that may have run is not refused as not run", async (t) => {
  const fleet = await testFleets.startFleet(t);
  fleet.retrySlackCount = RETRY_SLACK_COUNT;
  fleet.configure();
  const ranIds = new Set<string>();
  const engines = new crashingServers.CrashingServers(fleet, {
    serviceName: ENGINE_SERVICE,
    isCrashing: ({ id }) => id.startsWith("crashing"),
    crash: (call, response, server) => {
      ranIds.add(call.id);
      return backendServers.crashWithoutAnswer(CRASH_DELAY_MS)(call, response, server);
    },
    serve: backendServers.stream({ eventsCount: 3, gapMs: 2 }),
  });
  await engines.start(ENGINES_COUNT);
  await testFleets.addReadyGateways(fleet, 1);
  await testFleets.waitUntilServersKnown(fleet, ENGINES_COUNT);
  await testFleets.waitUntil(() => testFleets.isDraftServed(fleet));
  const statuses = new Map<string, number>();
  for (let index = 1; index <= ATTEMPTS_COUNT; index += 1) {
    const id = `crashing-${index}`;
    const answer = await fleet.call({ ...testFleets.DRAFT_REQUEST, path: "/answer/", id });
    statuses.set(id, answer.status);
  }
  const told = [...statuses].map(
    ([id, status]) => `${id}: ${status}${ranIds.has(id) ? " ran" : ""}`,
  );
  const isWrong = ([id, status]: [string, number]): boolean =>
    NOT_RUN_STATUSES.has(status) && ranIds.has(id);
  t.same([...statuses].filter(isWrong), [], told.join(", "));
  t.ok([...statuses.values()].includes(503), `some were withheld unrun: ${told.join(", ")}`);
  t.ok(ranIds.size >= 2, `several attempts ran: ${told.join(", ")}`);
});
