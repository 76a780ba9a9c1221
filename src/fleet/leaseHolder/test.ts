import * as fc from "fast-check";
import tap from "tap";

import * as logModel from "../../../standins/log/model/index.js";
import * as pausableClock from "../../../standins/pausableClock/index.js";
import * as counters from "../../../standins/telemetry/counters/index.js";
import * as logging from "../../_lib/logger/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as virtualClock from "../../_lib/virtualClock/index.js";
import * as appendBudget from "../../controlPlane/appendBudget/index.js";
import * as platform from "../../controlPlane/types.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";
import * as leaseHolder from "./index.js";

const SCOPE = "riga-a";
const { termMs, marginMs } = constants.DEFAULT_LEASE_OPTIONS;

interface Candidate {
  readonly name: string;
  readonly clock: pausableClock.PausableClock;
  readonly holder: leaseHolder.LeaseHolder;
  readonly counters: counters.CounterModel;
  /** Checks whether the lease of running work is still held, by fencing number. */
  readonly heldChecks: Map<number, types.IsStillHeld>;
}

/** VMs that compete for one lease, with the log and the clock that they share. */
class LeaseContest {
  readonly clock = new virtualClock.VirtualClock();
  readonly log = new logModel.LogModel(this.clock);
  readonly candidates: Candidate[] = [];

  add(name: string): Candidate {
    const clock = new pausableClock.PausableClock(this.clock);
    const counting = new counters.CounterModel();
    const holder = new leaseHolder.LeaseHolder(
      { ...constants.DEFAULT_LEASE_OPTIONS, vmName: name },
      this.log,
      new appendBudget.AppendBudget(clock, () => 3),
      clock,
      logging.NOOP_LOGGER,
      counting,
    );
    const candidate = { name, clock, holder, counters: counting, heldChecks: new Map() };
    this.candidates.push(candidate);
    return candidate;
  }

  /** Holds the lease for the given duration, or until it is lost. */
  hold(candidate: Candidate, durationMs: number, waitMs = 0) {
    const work: types.LeaseWork<number> = async (fencingNumber, isStillHeld, signal) => {
      candidate.heldChecks.set(fencingNumber, isStillHeld);
      await candidate.clock.sleep(durationMs, signal).catch(() => undefined);
      candidate.heldChecks.delete(fencingNumber);
      return fencingNumber;
    };
    return candidate.holder.withLease(SCOPE, work, { waitMs });
  }

  /** Fencing numbers of the leases that their holders consider held now. */
  passingFencingNumbers(): number[] {
    return this.candidates.flatMap((candidate) =>
      [...candidate.heldChecks]
        .filter(([, isStillHeld]) => isStillHeld())
        .map(([number]) => number),
    );
  }
}

tap.test("a lease is acquired, renewed past its term, and released", async (t) => {
  const contest = new LeaseContest();
  const a = contest.add("a");
  const held = contest.hold(a, 3 * termMs);
  await contest.clock.runForMs(2 * termMs);
  t.same(contest.passingFencingNumbers(), [0], "the offset of the record is the fencing number");
  await contest.clock.runForMs(2 * termMs);
  t.equal((await held)._unsafeUnwrap(), 0);
  const b = contest.add("b");
  const next = contest.hold(b, 10);
  await contest.clock.runForMs(100);
  t.ok((await next)._unsafeUnwrap() > 0, "after a release the successor does not wait");
});

tap.test(
  "acquiring a held lease fails with a conflict that names the holder and a retry time",
  async (t) => {
    const contest = new LeaseContest();
    void contest.hold(contest.add("a"), termMs);
    await contest.clock.runForMs(100);
    const refused = contest.hold(contest.add("b"), 10);
    await contest.clock.runForMs(100);
    const error = (await refused)._unsafeUnwrapErr();
    t.equal(error.code, stepError.ErrorCode.Conflict);
    t.equal(error.peer, "a");
    t.ok((error.retryAfterMs ?? 0) > termMs);
  },
);

tap.test(
  "of two concurrent candidates exactly one acquires the lease, by the order of the log",
  async (t) => {
    const contest = new LeaseContest();
    const results = [contest.hold(contest.add("a"), 1_000), contest.hold(contest.add("b"), 1_000)];
    await contest.clock.runForMs(500);
    t.equal(contest.passingFencingNumbers().length, 1);
    await contest.clock.runForMs(2_000);
    const settled = await Promise.all(results);
    t.equal(settled.filter((result) => result.isOk()).length, 1);
  },
);

tap.test("a holder that was paused beyond its term fails its check when it resumes", async (t) => {
  const contest = new LeaseContest();
  const a = contest.add("a");
  const b = contest.add("b");
  void contest.hold(a, 10 * termMs);
  await contest.clock.runForMs(1_000);
  a.clock.pause();
  void contest.hold(b, 10 * termMs, 10 * termMs);
  await contest.clock.runForMs(termMs + marginMs - 500);
  t.same(b.heldChecks.size, 0, "the successor waits for the term and the margin");
  await contest.clock.runForMs(2_000 + constants.DEFAULT_LEASE_OPTIONS.renewIntervalMs);
  t.same(b.heldChecks.size, 1);
  const [stale] = [...a.heldChecks.values()];
  t.equal(stale!(), false, "the check fails before any timer of the paused holder has run");
  a.clock.resume();
  await contest.clock.runForMs(1_000);
  t.equal(a.counters.countOf("fleet.lease_lost"), 1);
  const [numberOfB] = contest.passingFencingNumbers();
  t.ok(numberOfB! > 0, "the successor's fencing number is higher");
});

tap.test(
  "while the log is unavailable, a lease lasts until the end of its term and no longer",
  async (t) => {
    const contest = new LeaseContest();
    const a = contest.add("a");
    const held = contest.hold(a, 10 * termMs);
    await contest.clock.runForMs(100);
    contest.log.inject(logModel.LogFault.Down);
    await contest.clock.runForMs(termMs - 1_000);
    t.equal(contest.passingFencingNumbers().length, 1);
    await contest.clock.runForMs(2_000);
    t.equal(contest.passingFencingNumbers().length, 0);
    await held;
    contest.log.heal(logModel.LogFault.Down);
    const again = contest.hold(a, 10);
    await contest.clock.runForMs(1_000);
    t.ok((await again).isOk(), "a candidate does not wait for its own lapsed lease");
  },
);

tap.test("an acquisition whose answer was lost is confirmed by reading the log", async (t) => {
  const contest = new LeaseContest();
  contest.log.inject(logModel.LogFault.LostAnswer);
  const held = contest.hold(contest.add("a"), 3 * termMs);
  await contest.clock.runForMs(2 * termMs);
  t.same(contest.passingFencingNumbers(), [0]);
  await contest.clock.runForMs(2 * termMs);
  t.ok((await held).isOk());
});

tap.test("a check for an order that takes longer than the remaining term fails", async (t) => {
  const contest = new LeaseContest();
  const a = contest.add("a");
  void contest.hold(a, termMs);
  await contest.clock.runForMs(1_000);
  const [isStillHeld] = [...a.heldChecks.values()];
  t.ok(isStillHeld!(termMs - 2_000));
  t.notOk(isStillHeld!(termMs));
});

tap.test("records that are not valid lease records are skipped", async (t) => {
  const contest = new LeaseContest();
  void contest.log.append(platform.LogStream.Leases, [null, { type: "lease" }, "text", 5]);
  await contest.clock.runForMs(10);
  const a = contest.add("a");
  const held = contest.hold(a, 10);
  await contest.clock.runForMs(100);
  t.equal((await held)._unsafeUnwrap(), 4);
  t.equal(a.counters.countOf("fleet.lease_records_skipped"), 4);
});

tap.test("a held lease costs at most one append per renewal interval", async (t) => {
  const contest = new LeaseContest();
  const a = contest.add("a");
  void contest.hold(a, 1_000_000);
  await contest.clock.runForMs(300_000);
  const expected = 300_000 / constants.DEFAULT_LEASE_OPTIONS.renewIntervalMs;
  const { appendsCount } = contest.log;
  t.ok(appendsCount <= expected + 1, `${appendsCount} appends in 300 s`);
});

enum Event {
  Hold = "hold",
  Pause = "pause",
  Resume = "resume",
  LogDown = "log-down",
  LoseAnswers = "lose-answers",
  LogUp = "log-up",
  SlowLog = "slow-log",
}

const HANDLERS: Readonly<Record<Event, (contest: LeaseContest, candidate: Candidate) => void>> = {
  [Event.Hold]: (contest, candidate) => void contest.hold(candidate, 40_000, 60_000),
  [Event.Pause]: (_contest, candidate) => candidate.clock.pause(),
  [Event.Resume]: (_contest, candidate) => candidate.clock.resume(),
  [Event.LogDown]: (contest) => contest.log.inject(logModel.LogFault.Down),
  [Event.LoseAnswers]: (contest) => contest.log.inject(logModel.LogFault.LostAnswer),
  [Event.LogUp]: (contest) => {
    contest.log.heal(logModel.LogFault.Down);
    contest.log.heal(logModel.LogFault.LostAnswer);
    contest.log.extraLatencyMs = 0;
  },
  [Event.SlowLog]: (contest) => (contest.log.extraLatencyMs = 4_000),
};

tap.test(
  "under any pauses and log faults, at most one holder passes its check at a time",
  async (t) => {
    const event = fc.record({
      kind: fc.constantFrom(...Object.values(Event)),
      candidate: fc.nat(2),
      afterMs: fc.nat(12_000),
    });
    let acquiredCount = 0;
    const property = fc.asyncProperty(
      fc.array(event, { minLength: 10, maxLength: 25 }),
      async (events) => {
        const contest = new LeaseContest();
        for (const name of ["a", "b", "c"]) void contest.hold(contest.add(name), 40_000, 60_000);
        let highest = -1;
        for (const { kind, candidate, afterMs } of events) {
          for (let passedMs = 0; passedMs < afterMs; passedMs += 250) {
            await contest.clock.runForMs(250);
            const passing = contest.passingFencingNumbers();
            if (passing.length > 1) return false;
            if ((passing[0] ?? highest) < highest) return false;
            highest = passing[0] ?? highest;
          }
          HANDLERS[kind](contest, contest.candidates[candidate]!);
        }
        for (const candidate of contest.candidates) {
          acquiredCount += candidate.counters.countOf("fleet.lease_acquired");
        }
        return true;
      },
    );
    await fc.assert(property, { seed: 67, numRuns: 60 });
    t.ok(acquiredCount > 60, `${acquiredCount} leases were acquired during the runs`);
  },
);
