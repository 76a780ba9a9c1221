import tap, { type Test } from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as crashingServers from "../_lib/crashingServers/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const GATEWAYS_COUNT = 3;
const SERVERS_COUNT = 3;

/** Path of the request that crashes each server which begins to run it. */
const CRASHING_PATH = "/status/bad";

const CRASHING_INTERVAL_MS = 150;
const SOUND_INTERVAL_MS = 50;

/** Crashes after which the VMs have to have learned, and the time that they have for it. */
const LEARNING_CRASHES_COUNT = 3;
const NOTICE_MS = 1_000;

const OBSERVATION_MS = 4_000;

/** Attempts at the request that may reach servers after that. */
const MAX_LATE_ARRIVALS_COUNT = 3;

/** Servers that one attempt of a caller may end. */
const MAX_CRASHES_PER_ATTEMPT_COUNT = 2;

const CRASH_DELAY_MS = 40;
const ANSWER_DELAY_MS = 10;

/** Rejections a second above which brittle servers fall; far more than happen here. */
const MAX_REJECTIONS_PER_SECOND = 50;

/** One of so many sound requests is rejected while servers are brittle: two a second by all servers. */
const REJECTED_SHARE = 10;

/** Serves requests; if servers are brittle, says so and rejects one of several. */
function createService(isBrittle: boolean): backendServers.Behaviour {
  const serve = backendServers.answerLater("found", ANSWER_DELAY_MS);
  const reject = backendServers.refuse();
  let requestsCount = 0;
  return (call, response, server) => {
    if (!isBrittle) return serve(call, response, server);
    server.maxRejectionsPerSecond = MAX_REJECTIONS_PER_SECOND;
    requestsCount += 1;
    const isRejected = requestsCount % REJECTED_SHARE === 0;
    return isRejected ? reject(call, response, server) : serve(call, response, server);
  };
}

async function startFleet(
  t: Test,
  isBrittle = false,
): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: crashingServers.CrashingServers;
}> {
  const fleet = await testFleets.startReadyFleet(t);
  const servers = new crashingServers.CrashingServers(fleet, {
    serviceName: gatewayFleets.PLAIN_SERVICE,
    isCrashing: ({ target }) => target === CRASHING_PATH,
    crash: backendServers.crashWithoutAnswer(CRASH_DELAY_MS),
    serve: createService(isBrittle),
  });
  await servers.start(SERVERS_COUNT);
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * SERVERS_COUNT);
  return { fleet, servers };
}

async function testRecognition(t: Test, isBrittle: boolean): Promise<void> {
  const { fleet, servers } = await startFleet(t, isBrittle);
  const random = randoms.createRandom(7);
  const drawGateway = (): number => Math.floor(random.next() * GATEWAYS_COUNT);
  using sound = new crashingServers.Traffic(SOUND_INTERVAL_MS, (index) =>
    fleet.call({ path: `/status/${index}`, id: `sound-${index}` }, drawGateway()),
  );
  // The first rejection comes before the first crash.
  await testFleets.waitUntil(() => sound.answers.length >= 2 * REJECTED_SHARE);
  using crashing = new crashingServers.Traffic(CRASHING_INTERVAL_MS, (index) =>
    fleet.call({ path: CRASHING_PATH, id: `crashing-${index}` }, drawGateway()),
  );
  await testFleets.waitUntil(() => servers.crashes.length >= LEARNING_CRASHES_COUNT);
  const observedFromMs = performance.now() + NOTICE_MS;
  await new Promise((resolve) => setTimeout(resolve, NOTICE_MS + OBSERVATION_MS));
  sound[Symbol.dispose]();
  crashing[Symbol.dispose]();
  const lateCount = servers.arrivalsAtMs.filter((atMs) => atMs >= observedFromMs).length;
  t.ok(
    lateCount <= MAX_LATE_ARRIVALS_COUNT,
    `${lateCount} of ${crashing.answers.length} arrivals, ${servers.crashes.length} crashes`,
  );
  const answers = await Promise.all(sound.answers);
  const lateAnswers = answers.filter(({ sentAtMs }) => sentAtMs >= observedFromMs);
  const servedCount = lateAnswers.filter(({ isServed }) => isServed).length;
  t.ok(
    servedCount >= lateAnswers.length / 2,
    `${servedCount} of ${lateAnswers.length} sound requests were served`,
  );
}

tap.test("a request that crashes servers is recognised when it comes again", (t) =>
  testRecognition(t, false),
);

// A rejection somewhere in the service excused every end of a server.
tap.test("a request that crashes brittle servers is recognised beside a few rejections", (t) =>
  testRecognition(t, true),
);

tap.test("the repeats of one call do not end a whole service", async (t) => {
  const { fleet, servers } = await startFleet(t);
  await fleet.call({ path: CRASHING_PATH, id: "crashing" });
  const crashesCount = servers.crashes.length;
  t.ok(crashesCount <= MAX_CRASHES_PER_ATTEMPT_COUNT, `${crashesCount} servers ended`);
});
