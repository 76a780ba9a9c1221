import tap, { type Test } from "tap";

import * as plainReplays from "../_lib/plainReplay/index.js";

const SLOTS_COUNT = 6;
const WORK_MS = 86;
const OBJECTIVE_MS = 386;
const BRITTLENESS = { maxRejectionsPerSecond: 2, downMs: 3_000 };

/** Time for which servers are sound, then state that they are brittle, and then no longer let calls wait. */
const SOUND_MS = 2_000;
const STABILITY_WINDOW_MS = 3_000;
const SHORT_AT_MS = SOUND_MS + STABILITY_WINDOW_MS;
const BRITTLE_MS = 13_000;

/** Calls that arrive, in shares of those that the servers can run. */
const LOAD = 1.1;

/** Falls that the platform allows in one time of brittleness, besides a tenth of the servers. */
const MAX_FALLS_COUNT = 2;

/** Share of what the servers bear that has to be served. */
const MIN_SERVED_RATIO = 0.7;

interface Play {
  readonly replay: plainReplays.PlainReplay;
  readonly servedRatio: number;
  readonly fallsCount: number;
}

interface PlayOptions {
  readonly vmsCount: number;
  readonly serversCount: number;
  /** Calls that arrive, in shares of those that the servers can run, by the time since all was sound. */
  readonly loadAt?: (nowMs: number) => number;
  /** Whether VMs start again and are cut off from the others meanwhile. */
  readonly isDisturbed?: boolean;
}

/** Time for which a tenth of the VMs neither hear others nor are heard. */
const CUT_FROM_MS = SHORT_AT_MS + 3_000;
const CUT_TO_MS = SHORT_AT_MS + 8_000;

/** VMs that start again every second. */
const RESTARTS_RATIO = 0.02;

function isCutOff(vm: number): boolean {
  return vm % 10 === 1;
}

/** Plays once-only calls at random VMs, somewhat more than the servers can run, while these are brittle. */
async function play({ vmsCount, serversCount, loadAt, isDisturbed }: PlayOptions): Promise<Play> {
  const replay = new plainReplays.PlainReplay({
    vmsCount,
    isIdempotent: false,
    objectiveMs: OBJECTIVE_MS,
    knowledgeAgeMs: vmsCount > 100 ? 1_000 : 250,
    seed: vmsCount + serversCount,
    isCut: (from, to, nowMs) =>
      isDisturbed === true &&
      (isCutOff(from) || isCutOff(to)) &&
      nowMs >= CUT_FROM_MS &&
      nowMs < CUT_TO_MS,
  });
  for (let index = 0; index < serversCount; index += 1)
    replay.addServer(`s${index}`, { slotsCount: SLOTS_COUNT, placesCount: 24, workMs: WORK_MS });
  const capacityPerMs = (serversCount * SLOTS_COUNT) / WORK_MS;
  const endMs = SHORT_AT_MS + BRITTLE_MS;
  let servedBefore = 0;
  let nextRestartAtMs = SHORT_AT_MS;
  while (replay.clock.nowMs() < endMs) {
    const nowMs = replay.clock.nowMs();
    if (nowMs < SHORT_AT_MS) servedBefore = replay.answerTimesMs.length;
    if (isDisturbed === true && nowMs >= nextRestartAtMs) {
      replay.restart(Math.floor(replay.random.next() * vmsCount));
      nextRestartAtMs += 1_000 / Math.max(1, RESTARTS_RATIO * vmsCount);
    }
    for (const server of replay.servers) {
      server.workMs = WORK_MS * (0.5 + replay.random.next());
      server.brittleness =
        nowMs < SOUND_MS ? null : { ...BRITTLENESS, letsWait: nowMs < SHORT_AT_MS };
    }
    const load = loadAt?.(nowMs) ?? LOAD;
    if (load > 0) replay.call(Math.floor(replay.random.next() * vmsCount));
    await replay.clock.runForMs(1 / ((load || 1) * capacityPerMs));
  }
  const servedCount = replay.answerTimesMs.length - servedBefore;
  return {
    replay,
    servedRatio: servedCount / (capacityPerMs * BRITTLE_MS),
    fallsCount: replay.servers.reduce((sum, server) => sum + server.fallsCount, 0),
  };
}

function checkFalls(t: Test, { replay, servedRatio, fallsCount }: Play): void {
  const rejected = replay.servers.map((server) => server.rejectionsCount).join(", ");
  t.comment(`${fallsCount} falls, ${rejected} rejected, ${servedRatio.toFixed(2)} served`);
  const allowedCount = MAX_FALLS_COUNT + replay.servers.length / 10;
  t.ok(fallsCount <= allowedCount, `${fallsCount} falls`);
}

for (const vmsCount of [8, 30, 195]) {
  for (const serversCount of [3, 6]) {
    const size = `${vmsCount} VMs, ${serversCount} servers`;
    tap.test(`${size}: brittle servers keep serving while VMs restart and are cut`, async (t) => {
      const played = await play({ vmsCount, serversCount, isDisturbed: true });
      checkFalls(t, played);
      t.ok(played.servedRatio >= MIN_SERVED_RATIO, `${played.servedRatio.toFixed(2)} served`);
    });
  }
}

tap.test("brittle servers that nobody has called for a while are still taken for so", async (t) => {
  const quietFromMs = SHORT_AT_MS + 500;
  const quietToMs = quietFromMs + 11_000;
  const loadAt = (nowMs: number): number => {
    if (nowMs < quietFromMs) return LOAD;
    return nowMs < quietToMs ? 0 : 3;
  };
  checkFalls(t, await play({ vmsCount: 30, serversCount: 3, loadAt }));
});
