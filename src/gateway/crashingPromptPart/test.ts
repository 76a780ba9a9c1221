import tap, { type Test } from "tap";

import * as names from "../../../platform/names/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as crashingServers from "../_lib/crashingServers/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const GATEWAYS_COUNT = 3;
const ENGINES_COUNT = 4;

/** The part that crashes each engine which begins to write an answer on it. */
const CRASHING_PART = "bad0";

/** Shared parts; each prompt contains one of them before its own last part. */
const OTHER_PARTS = ["a1", "a2", "a3"];

const CRASHING_INTERVAL_MS = 150;
const SOUND_INTERVAL_MS = 50;

/** Crashes after which the VMs have to have learned, and the time that they have for it. */
const LEARNING_CRASHES_COUNT = 5;
const NOTICE_MS = 1_000;

const OBSERVATION_MS = 4_000;

/** Requests with the part that may reach engines after that. */
const MAX_LATE_ARRIVALS_COUNT = 3;

const CRASH_DELAY_MS = 60;

async function startFleet(t: Test): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly engines: crashingServers.CrashingServers;
}> {
  const fleet = await testFleets.startReadyFleet(t);
  const engines = new crashingServers.CrashingServers(fleet, {
    serviceName: gatewayFleets.ENGINE_SERVICE,
    isCrashing: ({ headers }) => String(headers["x-prefix-hash"]).includes(CRASHING_PART),
    crash: backendServers.crashAfterBegin(CRASH_DELAY_MS),
    serve: backendServers.stream({ eventsCount: 4, gapMs: 15 }),
  });
  await engines.start(ENGINES_COUNT);
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * ENGINES_COUNT);
  return { fleet, engines };
}

/** Returns a function that sends prompts with the given parts and others at random gateways. */
function createSender(
  fleet: gatewayFleets.GatewayFleet,
  random: randoms.RandomSource,
  name: string,
  sharedParts: readonly string[],
): (index: number) => Promise<gatewayFleets.CallerAnswer> {
  return (index) => {
    const id = `${name}-${index}`;
    const other = OTHER_PARTS[Math.floor(random.next() * OTHER_PARTS.length)] ?? "";
    const parts = ["first", ...sharedParts, other, id].map((part) => `${part}:50`).join(",");
    const headers = { ...testFleets.DRAFT_REQUEST.headers, "X-Prefix-Hash": parts };
    const request = { ...testFleets.DRAFT_REQUEST, body: id, path: "/draft/", id, headers };
    return fleet.call(request, Math.floor(random.next() * GATEWAYS_COUNT));
  };
}

tap.test(
  "a prompt part that crashes engines is learned, and other prompts are served",
  async (t) => {
    const { fleet, engines } = await startFleet(t);
    const random = randoms.createRandom(7);
    const sendSound = createSender(fleet, random.fork(), "sound", []);
    const sendCrashing = createSender(fleet, random.fork(), "crashing", [CRASHING_PART]);
    using sound = new crashingServers.Traffic(SOUND_INTERVAL_MS, sendSound);
    using crashing = new crashingServers.Traffic(CRASHING_INTERVAL_MS, sendCrashing);
    const startedAtMs = performance.now();
    const hasLearningEnded = (): boolean =>
      engines.crashes.length >= LEARNING_CRASHES_COUNT ||
      performance.now() > startedAtMs + OBSERVATION_MS;
    await testFleets.waitUntil(hasLearningEnded);
    const observedFromMs = performance.now() + NOTICE_MS;
    await new Promise((resolve) => setTimeout(resolve, NOTICE_MS + OBSERVATION_MS));
    sound[Symbol.dispose]();
    crashing[Symbol.dispose]();
    const lateCount = engines.arrivalsAtMs.filter((atMs) => atMs >= observedFromMs).length;
    t.ok(
      lateCount <= MAX_LATE_ARRIVALS_COUNT,
      `${lateCount} of ${crashing.answers.length} arrivals, ${engines.crashes.length} crashes`,
    );
    const answers = await Promise.all(sound.answers);
    const lateAnswers = answers.filter(({ sentAtMs }) => sentAtMs >= observedFromMs);
    const servedCount = lateAnswers.filter(({ isServed }) => isServed).length;
    t.ok(
      servedCount >= lateAnswers.length / 2,
      `${servedCount} of ${lateAnswers.length} sound requests were served`,
    );
  },
);

tap.test(
  "a prompt part that crashes engines is still known when all VMs have restarted",
  async (t) => {
    const { fleet, engines } = await startFleet(t);
    const sendCrashing = createSender(fleet, randoms.createRandom(8), "crashing", [CRASHING_PART]);
    let index = 0;
    await testFleets.waitUntil(async () => {
      index += 1;
      return (await sendCrashing(index).catch(() => null))?.status === 503;
    });
    await testFleets.waitUntil(() => fleet.store.copy().has(names.TOPIC_NAMES.suspects));
    for (const gateway of fleet.gateways) await gateway[Symbol.asyncDispose]();
    await fleet.addGateway();
    const restartedIndex = fleet.gateways.length - 1;
    await testFleets.waitUntil(() => fleet.isReady(restartedIndex));
    const arrivalsCount = engines.arrivalsAtMs.length;
    const headers = {
      ...testFleets.DRAFT_REQUEST.headers,
      "X-Prefix-Hash": `${CRASHING_PART}:9,x:1`,
    };
    const request = { ...testFleets.DRAFT_REQUEST, path: "/draft/", id: "again", headers };
    const answer = await fleet.call(request, restartedIndex);
    t.equal(answer.status, 503);
    t.equal(engines.arrivalsAtMs.length, arrivalsCount);
  },
);
