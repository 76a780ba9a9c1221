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
