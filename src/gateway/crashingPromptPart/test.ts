import tap, { type Test } from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

const GATEWAYS_COUNT = 3;
const ENGINES_COUNT = 4;

/** The part that crashes each engine which begins to write an answer on it. */
const CRASHING_PART = "bad0";

/** Parts of which each prompt has one between the first part and its own. */
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
const LAPSE_MS = 500;
const DOWN_MS = 900;

/** Engines that crash on one part of prompts, and come back with a new id. */
class CrashingEngines {
  readonly arrivalsAtMs: number[] = [];
  readonly crashesAtMs: number[] = [];
  private readonly crashed = new Set<string>();
  private startsCount = 0;
  private readonly crash = backendServers.crashAfterBegin(CRASH_DELAY_MS);
  private readonly serve = backendServers.stream({ eventsCount: 4, gapMs: 15 });
  private readonly refuse = backendServers.refuse();

  constructor(private readonly fleet: gatewayFleets.GatewayFleet) {}

  async start(): Promise<void> {
    for (let index = 0; index < ENGINES_COUNT; index += 1) {
      await this.fleet.addServer(this.createId(), ENGINE_SERVICE, this.behaviour);
    }
  }

  private readonly behaviour: backendServers.Behaviour = async (call, response, server) => {
    const parts = String(call.headers["x-prefix-hash"]);
    const isCrashing = parts.includes(CRASHING_PART);
    if (isCrashing) this.arrivalsAtMs.push(performance.now());
    // No engine has a copy of a run that had not begun.
    if (call.headers["kv-from"] !== undefined) return this.refuse(call, response, server);
    if (!isCrashing) return this.serve(call, response, server);
    await this.crash(call, response, server);
    if (this.crashed.has(server.id)) return;
    this.crashed.add(server.id);
    this.crashesAtMs.push(performance.now());
    await this.fleet.replaceCrashedServer(server, {
      id: this.createId(),
      serviceName: ENGINE_SERVICE,
      behaviour: this.behaviour,
      lapseMs: LAPSE_MS,
      downMs: DOWN_MS,
    });
  };

  private createId(): string {
    this.startsCount += 1;
    return `e${this.startsCount}`;
  }
}

async function startFleet(t: Test): Promise<{
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly engines: CrashingEngines;
}> {
  const fleet = await testFleets.startReadyFleet(t);
  const engines = new CrashingEngines(fleet);
  await engines.start();
  for (let index = 1; index < GATEWAYS_COUNT; index += 1) await fleet.addGateway();
  for (let index = 0; index < GATEWAYS_COUNT; index += 1)
    await testFleets.waitUntil(() => fleet.isReady(index));
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * ENGINES_COUNT);
  return { fleet, engines };
}

/** Sends prompts at random gateways in a regular interval until it is stopped. */
class Traffic implements Disposable {
  readonly answers: Promise<{ readonly sentAtMs: number; readonly isServed: boolean }>[] = [];
  private readonly timer: NodeJS.Timeout;

  constructor(
    private readonly fleet: gatewayFleets.GatewayFleet,
    private readonly name: string,
    private readonly random: randoms.RandomSource,
    intervalMs: number,
    private readonly sharedParts: readonly string[],
  ) {
    this.timer = setInterval(() => this.answers.push(this.send()), intervalMs);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private async send(): Promise<{ readonly sentAtMs: number; readonly isServed: boolean }> {
    const sentAtMs = performance.now();
    const id = `${this.name}-${this.answers.length}`;
    const other = OTHER_PARTS[Math.floor(this.random.next() * OTHER_PARTS.length)] ?? "";
    const parts = ["first", ...this.sharedParts, other, id].map((part) => `${part}:50`).join(",");
    const headers = { ...testFleets.DRAFT_REQUEST.headers, "X-Prefix-Hash": parts };
    const index = Math.floor(this.random.next() * GATEWAYS_COUNT);
    const request = { ...testFleets.DRAFT_REQUEST, path: "/draft/", id, headers };
    const answer = await this.fleet.call(request, index).catch(() => null);
    return { sentAtMs, isServed: answer?.status === 200 && answer.isComplete };
  }
}

tap.test(
  "a prompt part that crashes engines is learned, and other prompts are served",
  async (t) => {
    const { fleet, engines } = await startFleet(t);
    const random = randoms.createRandom(7);
    using sound = new Traffic(fleet, "sound", random.fork(), SOUND_INTERVAL_MS, []);
    using crashing = new Traffic(fleet, "crashing", random.fork(), CRASHING_INTERVAL_MS, [
      CRASHING_PART,
    ]);
    const startedAtMs = performance.now();
    const hasLearningEnded = (): boolean =>
      engines.crashesAtMs.length >= LEARNING_CRASHES_COUNT ||
      performance.now() > startedAtMs + OBSERVATION_MS;
    await testFleets.waitUntil(hasLearningEnded);
    const observedFromMs = performance.now() + NOTICE_MS;
    await new Promise((resolve) => setTimeout(resolve, NOTICE_MS + OBSERVATION_MS));
    sound[Symbol.dispose]();
    crashing[Symbol.dispose]();
    const lateCount = engines.arrivalsAtMs.filter((atMs) => atMs >= observedFromMs).length;
    t.ok(
      lateCount <= MAX_LATE_ARRIVALS_COUNT,
      `${lateCount} of ${crashing.answers.length} arrivals, ${engines.crashesAtMs.length} crashes`,
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
