import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";
import * as crashLedgers from "./index.js";

/** Interval between two crashes, long enough that they do not count as one event. */
const APART_MS = 500;

/** Time for which work runs on a server until its end. */
const RUN_MS = 80;

function suspectsOf(...keys: readonly string[]): readonly types.Suspect[] {
  return keys.map((key) => ({ kind: types.SuspectKind.PromptPart, key }));
}

/** A ledger on the virtual clock, whose servers end one after the other. */
class Fixture {
  readonly clock = new virtualClocks.VirtualClock();
  readonly ledger = new crashLedgers.CrashLedger(this.clock);
  private endsCount = 0;

  /** Ends the next server under one or several requests, and returns what the peers learn. */
  endServer(
    requests: readonly (readonly types.Suspect[])[],
    afterMs = APART_MS,
    ranMs = RUN_MS,
  ): readonly types.SuspectReport[] {
    this.clock.advanceToMs(this.clock.nowMs() + afterMs);
    this.endsCount += 1;
    const serverId = `e${this.endsCount}`;
    const endedAtMs = this.clock.nowMs();
    const sentAtMs = endedAtMs - ranMs;
    const end = { serverId, bornAtWallMs: 1, vmName: "vm-1", sentAtMs, endedAtMs };
    return requests.flatMap((suspects) => this.ledger.recordEnd(suspects, end));
  }

  isSent(...keys: readonly string[]): boolean {
    return this.ledger.findBlame(suspectsOf(...keys)) === null;
  }
}

tap.test("a part under which three servers ended is blamed, and other parts are not", async (t) => {
  const run = new Fixture();
  run.endServer([suspectsOf("bad", "a")]);
  run.endServer([suspectsOf("bad", "b")]);
  t.ok(run.isSent("bad", "c"));
  run.endServer([suspectsOf("bad", "c")]);
  t.notOk(run.isSent("bad", "d"));
  t.ok(run.isSent("a", "b", "c"));
});

tap.test("a run that survives clears the parts that it shares with the blamed one", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 5; index += 1) {
    run.endServer([suspectsOf("first", "bad")]);
    run.ledger.recordSurvival(suspectsOf("first", "other"));
  }
  t.ok(run.isSent("first", "other"));
  t.notOk(run.isSent("first", "bad"));
});

tap.test("servers that end at once count as one, as their cause may be common", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 5; index += 1) run.endServer([suspectsOf("part")], 1);
  t.ok(run.isSent("part"));
});

tap.test("ends under work that was sent after the end before count each", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("bad")], 45, 40);
  t.notOk(run.isSent("bad"));
});

tap.test("parts that always occur together are told apart by one trial", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("bad", "sound")]);
  t.notOk(run.isSent("bad", "sound"), "no trial tells them apart with both");
  t.ok(run.isSent("sound"));
  run.ledger.startTrial(suspectsOf("sound"));
  t.notOk(run.isSent("sound"), "one trial at a time");
  run.ledger.recordSurvival(suspectsOf("sound"));
  t.ok(run.isSent("sound"));
  t.notOk(run.isSent("bad"));
  t.notOk(run.isSent("bad", "sound"));
});

tap.test("a part that always occurs with one of two causes is told apart by a trial", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 3; index += 1) {
    run.endServer([suspectsOf("bad-1", "sound")]);
    run.endServer([suspectsOf("bad-2", "sound")]);
  }
  t.notOk(run.isSent("bad-1", "sound"));
  t.ok(run.isSent("sound"));
});

tap.test(
  "a blamed part is tried by one run at a time, and more rarely after each end",
  async (t) => {
    const run = new Fixture();
    for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("bad")]);
    const delaysMs = [constants.FIRST_TRIAL_DELAY_MS, 3 * constants.FIRST_TRIAL_DELAY_MS];
    for (const delayMs of delaysMs) {
      t.equal(run.ledger.findBlame(suspectsOf("bad"))?.retryAfterMs, delayMs);
      run.clock.advanceToMs(run.clock.nowMs() + delayMs);
      t.ok(run.isSent("bad"));
      run.ledger.startTrial(suspectsOf("bad"));
      t.notOk(run.isSent("bad"));
      run.endServer([suspectsOf("bad")], 10);
    }
  },
);

tap.test("a part whose trial survives is no longer blamed", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("repaired")]);
  run.clock.advanceToMs(run.clock.nowMs() + constants.FIRST_TRIAL_DELAY_MS);
  run.ledger.startTrial(suspectsOf("repaired"));
  run.ledger.recordSurvival(suspectsOf("repaired"));
  t.ok(run.isSent("repaired"));
  t.equal(run.ledger.blamedCount, 0);
});

tap.test("a part without further ends is forgotten", async (t) => {
  const run = new Fixture();
  for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("bad")]);
  run.clock.advanceToMs(run.clock.nowMs() + constants.SUSPECT_RETENTION_MS + 1);
  run.ledger.sweep();
  t.equal(run.ledger.suspectsCount, 0);
  t.equal(run.ledger.blamedCount, 0);
});

tap.test(
  "work that crashed servers of one service alone is tried at the other at once",
  async (t) => {
    const run = new Fixture();
    for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("both/bad", "old/bad")]);
    t.notOk(run.isSent("both/bad", "old/bad"));
    t.ok(run.isSent("both/bad", "new/bad"));
    run.ledger.startTrial(suspectsOf("both/bad", "new/bad"));
    t.notOk(run.isSent("both/bad", "new/bad"), "one at a time");
    const crashed = new Fixture();
    for (let index = 0; index < 3; index += 1)
      crashed.endServer([suspectsOf("both/bad", "old/bad")]);
    crashed.endServer([suspectsOf("both/bad", "new/bad")]);
    t.notOk(crashed.isSent("both/bad", "new/bad"), "it crashes servers there as well");
    run.ledger.recordSurvival(suspectsOf("both/bad", "new/bad"));
    t.ok(run.isSent("both/bad", "new/bad"), "it is sound there");
    t.notOk(run.isSent("both/bad", "old/bad"));
  },
);

tap.test(
  "the memory for many different suspects is bounded, and the latest are kept",
  async (t) => {
    const run = new Fixture();
    for (let server = 0; server < 60; server += 1) {
      const parts = Array.from({ length: 1_000 }, (_, index) => `part-${server}-${index}`);
      run.endServer([suspectsOf(...parts)]);
    }
    for (let index = 0; index < 3; index += 1) run.endServer([suspectsOf("bad")]);
    t.ok(run.ledger.suspectsCount <= constants.MAX_SUSPECTS_COUNT);
    t.notOk(run.isSent("bad"));
    t.ok(run.ledger.listReports().length <= constants.MAX_SUMMARY_SUSPECTS_COUNT);
  },
);

tap.test(
  "the order in which the VMs' reports arrive does not matter, 60 seeded cases",
  async (t) => {
    for (let seed = 1; seed <= 60; seed += 1) {
      const random = randoms.createRandom(seed);
      const observer = new Fixture();
      const sent: { readonly atMs: number; readonly reports: readonly types.SuspectReport[] }[] =
        [];
      for (let index = 0; index < 12; index += 1) {
        const keys = ["a", "b", "c"].filter(() => random.next() < 0.5);
        const reports =
          random.next() < 0.25
            ? observer.ledger.recordSurvival(suspectsOf(...keys))
            : observer.endServer([suspectsOf(...keys)]);
        sent.push({ atMs: observer.clock.nowMs(), reports });
      }
      const receiver = new crashLedgers.CrashLedger(observer.clock);
      const nowMs = observer.clock.nowMs();
      const shuffled = sent
        .map((message) => ({ message, order: random.next() }))
        .sort((left, right) => left.order - right.order);
      for (const { message } of shuffled) {
        const delayMs = nowMs - message.atMs;
        receiver.applyReports(message.reports.map((report) => delay(report, delayMs)));
      }
      for (const key of ["a", "b", "c"]) {
        const expected = observer.ledger.findBlame(suspectsOf(key));
        t.same(receiver.findBlame(suspectsOf(key)), expected, `seed ${seed}, part ${key}`);
      }
    }
  },
);

/** Returns a report as it would be had it been created later. */
function delay(report: types.SuspectReport, delayMs: number): types.SuspectReport {
  const older = (ageMs: number | null): number | null => (ageMs === null ? null : ageMs + delayMs);
  return {
    ...report,
    clearedAgeMs: older(report.clearedAgeMs),
    trialAgeMs: older(report.trialAgeMs),
    ends: report.ends.map((end) => ({ ...end, ageMs: end.ageMs + delayMs })),
  };
}
