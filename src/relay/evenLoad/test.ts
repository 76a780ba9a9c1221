import tap, { type Test } from "tap";

import * as plainReplays from "../_lib/plainReplay/index.js";

const WAVE_INTERVAL_MS = 250;

const WAVES_COUNT = 60;

/** Four servers, of which the last has half the speed. */
function addUnevenServers(replay: plainReplays.PlainReplay): void {
  for (const [index, workMs] of [60, 60, 60, 120].entries())
    replay.addServer(`s${index}`, { slotsCount: 4, placesCount: 12, workMs });
}

/** Makes calls at random VMs, all at one moment, again and again. */
async function playWaves(
  replay: plainReplays.PlainReplay,
  {
    vmsCount,
    callsCount,
    wavesCount = WAVES_COUNT,
  }: { vmsCount: number; callsCount: number; wavesCount?: number },
): Promise<void> {
  for (let wave = 0; wave < wavesCount; wave += 1) {
    for (let index = 0; index < callsCount; index += 1)
      replay.call(Math.floor(replay.random.next() * vmsCount));
    await replay.clock.runForMs(WAVE_INTERVAL_MS);
  }
  await replay.clock.runForMs(10_000);
}

function percentile(values: readonly number[], share: number): number {
  const sorted = [...values].sort((left, right) => left - right);
  return sorted[Math.ceil(share * sorted.length) - 1] ?? Infinity;
}

/** Checks the bounds that callers of a service at 86 % of its capacity are promised. */
function checkWaves(t: Test, { servers, statuses, answerTimesMs }: plainReplays.PlainReplay): void {
  const callsCount = statuses.length;
  const rejectionsCount = servers.reduce((sum, server) => sum + server.rejectionsCount, 0);
  const p99Ms = percentile(answerTimesMs, 0.99);
  const arrivals = servers.map((server) => server.arrivalsCount).join(", ");
  t.comment(
    `p99 ${p99Ms} ms, ${rejectionsCount} of ${callsCount} turned away, arrivals ${arrivals}`,
  );
  t.ok(p99Ms <= 330, `p99 ${p99Ms} ms`);
  t.ok(rejectionsCount < 0.01 * callsCount, `${rejectionsCount} of ${callsCount} turned away`);
  t.ok(answerTimesMs.length >= 0.995 * callsCount, `${answerTimesMs.length} served`);
}

for (const isIdempotent of [true, false]) {
  const kind = isIdempotent ? "lookups" : "once-only calls";
  tap.test(`${kind} that thirty VMs send at one moment, at 86 % of capacity`, async (t) => {
    const vmsCount = 30;
    const options = { vmsCount, isIdempotent, objectiveMs: 300, knowledgeAgeMs: 500, seed: 1 };
    const replay = new plainReplays.PlainReplay(options);
    addUnevenServers(replay);
    await playWaves(replay, { vmsCount, callsCount: 50 });
    checkWaves(t, replay);
  });
}

/** Calls that reached each server since the last count. */
function countNewArrivals(replay: plainReplays.PlainReplay): () => readonly number[] {
  let former: readonly number[] = [];
  return () => {
    const counts = replay.servers.map((server) => server.arrivalsCount);
    const news = counts.map((count, index) => count - (former[index] ?? 0));
    former = counts;
    return news;
  };
}

const EQUAL_SERVER = { slotsCount: 4, placesCount: 12, workMs: 60 };

function createEvenReplay(
  vmsCount: number,
  overrides: Partial<plainReplays.ReplayOptions> = {},
): plainReplays.PlainReplay {
  const options = { isIdempotent: false, objectiveMs: 300, knowledgeAgeMs: 1_000, seed: 2 };
  const replay = new plainReplays.PlainReplay({ vmsCount, ...options, ...overrides });
  for (const id of ["s0", "s1", "s2", "s3"]) replay.addServer(id, EQUAL_SERVER);
  return replay;
}

tap.test("a server that comes back empty gets its share, and not all calls", async (t) => {
  const vmsCount = 60;
  const replay = createEvenReplay(vmsCount);
  const takeCounts = countNewArrivals(replay);
  await playWaves(replay, { vmsCount, callsCount: 40, wavesCount: 8 });
  takeCounts();
  replay.addServer("s4", EQUAL_SERVER);
  await playWaves(replay, { vmsCount, callsCount: 40, wavesCount: 1 });
  const newest = takeCounts().at(-1) ?? 0;
  // Its four slots and twelve places hold sixteen calls at a time.
  t.ok(newest > 0 && newest <= 16, `${newest} of 40 calls`);
});

tap.test("VMs that do not hear each other do not all choose the same server", async (t) => {
  const vmsCount = 60;
  const isolated = createEvenReplay(vmsCount, { isCut: () => true });
  const halves = createEvenReplay(vmsCount, { isCut: (from, to) => from % 2 !== to % 2 });
  for (const replay of [isolated, halves]) {
    await playWaves(replay, { vmsCount, callsCount: 40, wavesCount: 20 });
    t.equal(replay.answerTimesMs.length, replay.statuses.length, "all calls are served");
  }
});

tap.test("one VM that has as many calls as ten others spreads its own", async (t) => {
  const vmsCount = 12;
  const replay = createEvenReplay(vmsCount);
  for (let wave = 0; wave < 20; wave += 1) {
    for (let index = 0; index < 40; index += 1)
      replay.call(replay.random.next() < 0.5 ? 0 : Math.floor(replay.random.next() * vmsCount));
    await replay.clock.runForMs(WAVE_INTERVAL_MS);
  }
  await replay.clock.runForMs(10_000);
  t.equal(replay.answerTimesMs.length, replay.statuses.length, "all calls are served");
  t.ok(percentile(replay.answerTimesMs, 0.99) <= 300, "within the objective");
});
