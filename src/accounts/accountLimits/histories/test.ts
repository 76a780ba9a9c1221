import * as fc from "fast-check";
import tap from "tap";

import * as limitsFleet from "../../../../standins/fleet/limitsFleet/index.js";
import * as accountShare from "../../_lib/accountShare/index.js";
import * as fleet from "../../../fleet/types.js";

const LIMITS = { requestsPerSecond: 80, concurrentRequests: 16, tokensPerSecond: 8_000 };
const ACCOUNT = limitsFleet.createAccount("library", LIMITS);
const NAMES = ["vm-1", "vm-2", "vm-3", "vm-4", "vm-5"];
const ROUNDING = 1e-6;

enum Event {
  Load = "load",
  Permits = "permits",
  Latency = "latency",
  Silence = "silence",
  Unsilence = "unsilence",
  Suspect = "suspect",
  Trust = "trust",
  Part = "part",
  Heal = "heal",
}

type Handler = (limits: limitsFleet.LimitsFleet, name: string, other: string) => void;

const HANDLERS: Readonly<Record<Event, Handler>> = {
  [Event.Load]: (limits, name) => void limits.requestAtRate(name, 150, 8_000),
  [Event.Permits]: (limits, name) => {
    for (let count = 0; count < 20; count += 1) {
      const permit = limits.vm(name).limits.admit(ACCOUNT);
      if (permit.isErr()) continue;
      permit.value.spendTokens(500);
      limits.clock.schedule(6_000, () => permit.value[Symbol.dispose]());
    }
  },
  [Event.Latency]: (limits, name) => (limits.hub.latencyMs = name === "vm-1" ? 300 : 2),
  [Event.Silence]: (limits, name, other) => limits.hub.silence(name, other),
  [Event.Unsilence]: (limits) => {
    for (const left of NAMES) for (const right of NAMES) limits.hub.heal(left, right);
  },
  [Event.Suspect]: (limits, name) => setStateInAllViews(limits, name, fleet.MemberState.Suspect),
  [Event.Trust]: (limits, name) => setStateInAllViews(limits, name, fleet.MemberState.Live),
  [Event.Part]: (limits, name, other) => {
    const group = [...new Set([name, other])];
    limits.partition([group, NAMES.filter((each) => !group.includes(each))]);
  },
  [Event.Heal]: (limits) => limits.heal(),
};

/** Sets the state of a VM in the fleet views of all VMs, its own included. */
function setStateInAllViews(
  limits: limitsFleet.LimitsFleet,
  name: string,
  state: fleet.MemberState,
): void {
  for (const vm of limits.vms.values()) vm.view.setState(name, state);
}

function arbitraryHistory(kinds: readonly Event[]) {
  return fc.array(
    fc.record({
      kind: fc.constantFrom(...kinds),
      name: fc.constantFrom(...NAMES),
      other: fc.constantFrom(...NAMES),
      afterMs: fc.nat(4_000),
    }),
    { minLength: 10, maxLength: 30 },
  );
}

const SEED = 71;
const STEP_MS = 200;
const LOAD_EVENTS = [Event.Load, Event.Permits, Event.Latency];

type History = readonly { kind: Event; name: string; other: string; afterMs: number }[];

/** Runs a history; returns the largest ratio of the sum of shares to the limit at any time. */
async function runHistory(limits: limitsFleet.LimitsFleet, events: History): Promise<number> {
  let largestRatio = 0;
  for (const { kind, name, other, afterMs } of events) {
    HANDLERS[kind](limits, name, other);
    for (let passedMs = 0; passedMs < afterMs; passedMs += STEP_MS) {
      await limits.clock.runForMs(STEP_MS);
      largestRatio = Math.max(largestRatio, currentRatio(limits));
    }
  }
  return largestRatio;
}

function currentRatio(limits: limitsFleet.LimitsFleet): number {
  return Math.max(
    ...accountShare.SHARE_FIELDS.map((field) => limits.sumShares(field) / LIMITS[field]),
  );
}

async function startFleet(): Promise<limitsFleet.LimitsFleet> {
  const limits = new limitsFleet.LimitsFleet(NAMES.length, ACCOUNT);
  await limits.clock.runForMs(5_000);
  return limits;
}

async function findLargestRatio(kinds: readonly Event[], numRuns: number): Promise<number> {
  let largestRatio = 0;
  const property = fc.asyncProperty(arbitraryHistory(kinds), async (events) => {
    await using limits = await startFleet();
    largestRatio = Math.max(largestRatio, await runHistory(limits, events));
  });
  await fc.assert(property, { seed: SEED, numRuns });
  return largestRatio;
}

tap.test(
  "the shares never sum up to more than the limit, with delayed messages and any demand",
  async (t) => {
    const ratio = await findLargestRatio(LOAD_EVENTS, 12);
    t.ok(ratio > 0.9 && ratio <= 1 + ROUNDING, `${ratio} of the limit`);
  },
);

tap.test(
  "the shares never sum up to more than the limit if the home changes and changes back",
  async (t) => {
    const kinds = [Event.Load, Event.Permits, Event.Suspect, Event.Trust];
    const ratio = await findLargestRatio(kinds, 12);
    t.ok(ratio > 0.9 && ratio <= 1 + ROUNDING, `${ratio} of the limit`);
  },
);

tap.test("in two partitions the shares never sum up to more than twice the limit", async (t) => {
  let largestRatio = 0;
  const property = fc.asyncProperty(
    arbitraryHistory(LOAD_EVENTS),
    arbitraryHistory(LOAD_EVENTS),
    fc.subarray(NAMES, { minLength: 1, maxLength: 4 }),
    async (before, during, group) => {
      await using limits = await startFleet();
      await runHistory(limits, before);
      limits.partition([group, NAMES.filter((name) => !group.includes(name))]);
      largestRatio = Math.max(largestRatio, await runHistory(limits, during));
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: 15 });
  t.ok(largestRatio > 0.9 && largestRatio <= 2 + ROUNDING, `${largestRatio} of the limit`);
});

tap.test(
  "after any history the sum returns within the limit once all faults have healed",
  async (t) => {
    let ratioDuringFaults = 0;
    let ratioAfterHealing = 0;
    const property = fc.asyncProperty(arbitraryHistory(Object.values(Event)), async (events) => {
      await using limits = await startFleet();
      ratioDuringFaults = Math.max(ratioDuringFaults, await runHistory(limits, events));
      limits.heal();
      limits.hub.latencyMs = 2;
      for (const name of NAMES) void limits.requestAtRate(name, 150, 30_000);
      await limits.clock.runForMs(20_000);
      ratioAfterHealing = Math.max(ratioAfterHealing, currentRatio(limits));
    });
    await fc.assert(property, { seed: SEED, numRuns: 12 });
    t.ok(ratioDuringFaults > 1, `${ratioDuringFaults} of the limit during the history`);
    t.ok(
      ratioAfterHealing > 0.9 && ratioAfterHealing <= 1 + ROUNDING,
      `${ratioAfterHealing} once healed`,
    );
  },
);
