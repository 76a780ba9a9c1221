import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as callGates from "./index.js";

const SERVICE = "plain";
const VMS_COUNT = 12;
const DATAGRAM_DELAY_MS = 5;
const STEP_MS = 5;

/**
 * Five servers that take eight calls at a time of 200 ms each: 200 calls a second, of which some 175 find a
 * free slot in time.
 */
const SERVERS_COUNT = 5;
const SLOTS_PER_SERVER_COUNT = 8;
const CALL_MS = 200;
const CAPACITY_PER_SECOND = 200;

/** Calls a second that have to be served during a flood. */
const MIN_SERVED_PER_SECOND = 150;

/** Servers that a call is sent to before it is given up. */
const MAX_SENDS_COUNT = 3;

interface Caller {
  readonly accountName: string;
  ratePerSecond: number;
  sentCount: number;
  servedCount: number;
  /** Calls that the gate turned away. */
  refusedCount: number;
}

function createCaller(accountName: string, ratePerSecond: number): Caller {
  return { accountName, ratePerSecond, sentCount: 0, servedCount: 0, refusedCount: 0 };
}

/** VMs with gates in front of servers that turn away what finds no slot. */
class Rig {
  readonly clock = new virtualClocks.VirtualClock();
  readonly random = randoms.createRandom(11);
  readonly gates: readonly callGates.CallGate[];
  readonly refusals: callGates.CallGateRefusal[] = [];
  readonly pendingCounts = Array<number>(SERVERS_COUNT).fill(0);
  areVmsConnected = true;
  hasGates = true;
  slotsCount = SLOTS_PER_SERVER_COUNT;

  constructor(readonly callers: readonly Caller[]) {
    this.gates = Array.from({ length: VMS_COUNT }, (_, index) => {
      return new callGates.CallGate({
        clock: this.clock,
        random: this.random,
        announce: (report) => {
          if (!this.areVmsConnected) return;
          this.clock.schedule(DATAGRAM_DELAY_MS, () => {
            for (const gate of this.gates)
              if (gate !== this.gates[index]) gate.recordPeerDemand(`vm-${index}`, report);
          });
        },
      });
    });
  }

  async run(durationMs: number): Promise<void> {
    const endAtMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endAtMs) {
      for (const caller of this.callers) this.sendSome(caller);
      await this.clock.runForMs(STEP_MS);
    }
  }

  private sendSome(caller: Caller): void {
    const callsCount = (caller.ratePerSecond * STEP_MS) / 1_000;
    const hasExtra = this.random.next() < callsCount % 1;
    for (let count = 0; count < Math.floor(callsCount) + (hasExtra ? 1 : 0); count += 1)
      this.send(caller);
  }

  private send(caller: Caller): void {
    const gate = this.gates[Math.floor(this.random.next() * VMS_COUNT)]!;
    caller.sentCount += 1;
    const refusal = this.hasGates ? gate.admit(SERVICE, caller.accountName) : null;
    if (refusal !== null) {
      caller.refusedCount += 1;
      this.refusals.push(refusal);
      return;
    }
    const servers = this.pendingCounts.map((_, index) => index);
    for (let sendsCount = 0; sendsCount < MAX_SENDS_COUNT; sendsCount += 1) {
      const [server] = servers.splice(Math.floor(this.random.next() * servers.length), 1);
      if (this.pendingCounts[server!]! >= this.slotsCount) continue;
      this.pendingCounts[server!]! += 1;
      this.clock.schedule(CALL_MS, () => {
        this.pendingCounts[server!]! -= 1;
        caller.servedCount += 1;
        gate.recordServed(SERVICE);
      });
      return;
    }
    gate.recordRefused(SERVICE);
  }
}

/** Two accounts: a flood at twice the capacity, and one at a fifth of its share. */
function createFlood(): { readonly flood: Caller; readonly small: Caller } {
  const smallRate = CAPACITY_PER_SECOND / 2 / 5;
  const flood = createCaller("flood", 2 * CAPACITY_PER_SECOND - smallRate);
  return { flood, small: createCaller("small", smallRate) };
}

tap.test("an account at a fifth of its share is served beside a flood", async (t) => {
  const { flood, small } = createFlood();
  const durationS = 30;
  await new Rig([flood, small]).run(durationS * 1_000);
  const { sentCount, servedCount } = small;
  t.ok(servedCount >= 0.95 * sentCount, `${servedCount} of ${sentCount} served`);
  const perSecond = (flood.servedCount + servedCount) / durationS;
  t.ok(perSecond >= MIN_SERVED_PER_SECOND, `${perSecond} calls a second served`);
  t.equal(small.refusedCount, 0, "no call within the share is turned away");
});

tap.test("VMs that hear nothing of each other keep to the shares by themselves", async (t) => {
  const { flood, small } = createFlood();
  const durationS = 30;
  const rig = new Rig([flood, small]);
  rig.areVmsConnected = false;
  await rig.run(durationS * 1_000);
  t.equal(small.refusedCount, 0, "no call within the share is turned away");
  t.ok(flood.refusedCount > 0);
  const perSecond = (flood.servedCount + small.servedCount) / durationS;
  t.ok(perSecond >= MIN_SERVED_PER_SECOND, `${perSecond} calls a second served`);
  const ungated = createFlood();
  const ungatedRig = new Rig([ungated.flood, ungated.small]);
  ungatedRig.hasGates = false;
  await ungatedRig.run(durationS * 1_000);
  const ratio = small.servedCount / small.sentCount;
  const ungatedRatio = ungated.small.servedCount / ungated.small.sentCount;
  t.ok(ratio > ungatedRatio, `${ratio} served, ${ungatedRatio} without shares`);
});

tap.test("shares are in force a second after a flood begins", async (t) => {
  const { flood, small } = createFlood();
  const rig = new Rig([flood, small]);
  const fullRate = flood.ratePerSecond;
  flood.ratePerSecond = 50;
  await rig.run(5_000);
  t.equal(flood.refusedCount, 0, "nothing is turned away before");
  flood.ratePerSecond = fullRate;
  await rig.run(1_000);
  const [sentCount, servedCount] = [small.sentCount, small.servedCount];
  await rig.run(10_000);
  const ratio = (small.servedCount - servedCount) / (small.sentCount - sentCount);
  t.ok(ratio >= 0.95, `${ratio} of the small account's calls`);
});

tap.test("one account, or demand that the servers meet, is never turned away", async (t) => {
  const alone = createCaller("flood", 2 * CAPACITY_PER_SECOND);
  await new Rig([alone]).run(5_000);
  t.equal(alone.refusedCount, 0);
  const { flood, small } = createFlood();
  flood.ratePerSecond = 100;
  await new Rig([flood, small]).run(5_000);
  t.equal(flood.refusedCount, 0);
});

tap.test("servers that are added during a flood are in use within seconds", async (t) => {
  const { flood, small } = createFlood();
  flood.ratePerSecond = 3 * CAPACITY_PER_SECOND;
  const rig = new Rig([flood, small]);
  await rig.run(5_000);
  rig.slotsCount *= 2;
  await rig.run(3_000);
  const servedCount = flood.servedCount + small.servedCount;
  await rig.run(5_000);
  const perSecond = (flood.servedCount + small.servedCount - servedCount) / 5;
  t.ok(perSecond >= 2 * MIN_SERVED_PER_SECOND, `${perSecond} calls a second served`);
});

tap.test("a call that is turned away is told when to return", async (t) => {
  const { flood, small } = createFlood();
  const rig = new Rig([flood, small]);
  await rig.run(3_000);
  t.ok(rig.refusals.length > 0);
  t.ok(rig.refusals.every((refusal) => refusal.demandPerSecond > refusal.sharePerSecond));
  const delaysMs = rig.refusals.map(({ retryAfterMs }) => retryAfterMs);
  t.ok(Math.min(...delaysMs) >= 300 && Math.max(...delaysMs) <= 20_000, "bounded");
  t.ok(new Set(delaysMs).size > rig.refusals.length / 4, "spread");
});
