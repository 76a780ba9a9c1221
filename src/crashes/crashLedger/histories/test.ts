import tap from "tap";

import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as crashingFleets from "../../_lib/crashingFleet/index.js";

const SEEDS_COUNT = 40;
const DURATION_MS = 60_000;

/** Crashes after which the VMs have to have learned, and the time that they have for it. */
const LEARNING_CRASHES_COUNT = 5;
const NOTICE_MS = 3_000;

/** Requests with the crashing part that may be sent after that. */
const MAX_LATE_SENDS_COUNT = 3;

interface History {
  readonly fleet: crashingFleets.CrashingFleet;
  /** When the VMs have to have learned. */
  readonly learnedAtMs: number;
}

/** Plays a minute of sound and crashing requests; VMs restart if wanted. */
function play(seed: number, hasRestarts: boolean): History {
  const random = randoms.createRandom(seed);
  const clock = new virtualClocks.VirtualClock();
  const fleet = new crashingFleets.CrashingFleet(clock, random.fork(), {
    vmsCount: 3 + Math.floor(9 * random.next()),
    enginesCount: 4 + Math.floor(8 * random.next()),
    lossRatio: 0.1 * random.next(),
  });
  const soundIntervalMs = 40 + 160 * random.next();
  const crashingIntervalMs = 200 + 1_500 * random.next();
  const repeat = (intervalMs: number, act: () => void): void => {
    clock.schedule(2 * intervalMs * random.next(), () => {
      act();
      repeat(intervalMs, act);
    });
  };
  repeat(soundIntervalMs, () => fleet.request(false));
  repeat(crashingIntervalMs, () => fleet.request(true));
  if (hasRestarts) repeat(10_000, () => fleet.restartVm());
  clock.advanceToMs(DURATION_MS);
  const fifthAtMs = fleet.crashesAtMs[LEARNING_CRASHES_COUNT - 1] ?? fleet.crashesAtMs.at(-1) ?? 0;
  return { fleet, learnedAtMs: fifthAtMs + NOTICE_MS };
}

tap.test("random histories: a fleet stops sending a part that crashes engines", async (t) => {
  for (let seed = 1; seed <= SEEDS_COUNT; seed += 1) {
    const { fleet, learnedAtMs } = play(seed, seed % 2 === 0);
    const isLearned = fleet.crashesAtMs.length >= LEARNING_CRASHES_COUNT;
    const late = fleet.decisions.filter(
      ({ isCrashing, isSent, atMs }) => isCrashing && isSent && atMs > learnedAtMs,
    );
    const detail = `seed ${seed}: ${late.length} late of ${fleet.crashesAtMs.length} crashes`;
    t.ok(!isLearned || late.length <= MAX_LATE_SENDS_COUNT, detail);
  }
});

tap.test("random histories: requests that share all other parts go on being sent", async (t) => {
  for (let seed = 1; seed <= SEEDS_COUNT; seed += 1) {
    const { fleet, learnedAtMs } = play(seed, seed % 2 === 0);
    const late = fleet.decisions.filter(
      ({ isCrashing, atMs }) => !isCrashing && atMs > learnedAtMs + NOTICE_MS,
    );
    const sentCount = late.filter(({ isSent }) => isSent).length;
    t.ok(sentCount >= late.length / 2, `seed ${seed}: ${sentCount} of ${late.length} sent`);
  }
});
