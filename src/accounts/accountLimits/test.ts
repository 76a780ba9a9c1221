import tap from "tap";

import * as limitsFleet from "../../../standins/fleet/limitsFleet/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as fleet from "../../fleet/types.js";

const ACCOUNT = limitsFleet.createAccount("library", {
  requestsPerSecond: 80,
  concurrentRequests: 16,
  tokensPerSecond: 8_000,
});

async function runWhile<T>(fleetUnderTest: limitsFleet.LimitsFleet, work: Promise<T>): Promise<T> {
  const progress = { isDone: false };
  const done = work.finally(() => (progress.isDone = true));
  while (!progress.isDone) await fleetUnderTest.clock.runForMs(100);
  return done;
}

async function startWarmFleet(vmsCount: number): Promise<limitsFleet.LimitsFleet> {
  const warm = new limitsFleet.LimitsFleet(vmsCount, ACCOUNT);
  await warm.clock.runForMs(10_000);
  return warm;
}

tap.test("a single VM admits requests without delay, up to the whole limit", async (t) => {
  await using single = new limitsFleet.LimitsFleet(1, ACCOUNT);
  const { limits } = single.vm("vm-1");
  await runWhile(single, limits.waitForShare(ACCOUNT));
  t.equal(single.sumShares("requestsPerSecond"), 80);
  const admittedCount = await runWhile(single, single.requestAtRate("vm-1", 200, 10_000));
  t.ok(admittedCount <= 80 * 11 && admittedCount >= 80 * 9, `${admittedCount} admitted`);
});

tap.test("the first request on a VM waits only for the home's response", async (t) => {
  await using warm = await startWarmFleet(4);
  const startedAtMs = warm.clock.nowMs();
  await runWhile(warm, warm.vm("vm-2").limits.waitForShare(ACCOUNT));
  t.ok(warm.tryAdmission("vm-2"));
  t.ok(warm.clock.nowMs() - startedAtMs <= 200);
});

tap.test("a refusal states not-run, a retry delay and the exceeded limit", async (t) => {
  await using single = new limitsFleet.LimitsFleet(1, ACCOUNT);
  const { limits } = single.vm("vm-1");
  await runWhile(single, limits.waitForShare(ACCOUNT));
  const permits = Array.from({ length: 16 }, () => limits.admit(ACCOUNT));
  t.ok(permits.every((permit) => permit.isOk()));
  const error = limits.admit(ACCOUNT)._unsafeUnwrapErr();
  t.equal(error.code, stepError.ErrorCode.LimitExceeded);
  t.equal(error.execution, stepError.ExecutionState.NotRun);
  t.match(error.message, /^library: 16 of 16 concurrent requests/);
  t.ok((error.retryAfterMs ?? 0) > 0);
  permits[0]!._unsafeUnwrap()[Symbol.dispose]();
  permits[0]!._unsafeUnwrap()[Symbol.dispose]();
  t.ok(limits.admit(ACCOUNT).isOk());
  t.ok(limits.admit(ACCOUNT).isErr(), "a permit disposed of twice freed one slot");
});

tap.test(
  "tokens spent above the rate delay new requests until the credit has recovered",
  async (t) => {
    await using single = new limitsFleet.LimitsFleet(1, ACCOUNT);
    const { limits } = single.vm("vm-1");
    await runWhile(single, limits.waitForShare(ACCOUNT));
    const permit = limits.admit(ACCOUNT)._unsafeUnwrap();
    permit.spendTokens(8_000 * 3);
    permit[Symbol.dispose]();
    const error = limits.admit(ACCOUNT)._unsafeUnwrapErr();
    t.match(error.message, /more than 8000 tokens per second/);
    t.ok(Math.abs(error.retryAfterMs! - 2_000) < 10, `${error.retryAfterMs} ms`);
    await single.clock.runForMs(error.retryAfterMs!);
    t.ok(limits.admit(ACCOUNT).isOk());
  },
);

tap.test(
  "the first request on another VM is admitted if the account is far below its limits",
  async (t) => {
    await using warm = await startWarmFleet(4);
    await runWhile(warm, warm.requestAtRate("vm-1", 2, 5_000));
    const { limits } = warm.vm("vm-2");
    await runWhile(warm, limits.waitForShare(ACCOUNT));
    t.ok(limits.admit(ACCOUNT).isOk());
  },
);

tap.test(
  "VMs without demand yield their shares to others, and receive them again when needed",
  async (t) => {
    await using warm = await startWarmFleet(4);
    const busy = await runWhile(warm, warm.requestAtRate("vm-1", 100, 10_000));
    t.ok(busy > 80 * 8, `${busy} of ${80 * 10} admitted at one VM`);
    const both = await runWhile(
      warm,
      Promise.all([
        warm.requestAtRate("vm-1", 100, 10_000),
        warm.requestAtRate("vm-2", 100, 10_000),
      ]),
    );
    t.ok(both[1] > 40 * 7, `${both[1]} admitted at the second VM`);
    t.ok(both[0] + both[1] <= 80 * 11, `${both[0] + both[1]} admitted together`);
  },
);

tap.test(
  "the state of an account without requests is removed at its VMs and its home",
  async (t) => {
    await using warm = await startWarmFleet(4);
    await runWhile(warm, warm.requestAtRate("vm-1", 10, 2_000));
    await warm.clock.runForMs(60_000);
    for (const { limits } of warm.vms.values()) {
      t.same(limits.activeCounts(), { usedCount: 0, homeCount: 0 });
    }
  },
);

tap.test(
  "VMs in a partition keep their last shares, and the sum stays within the limit",
  async (t) => {
    await using warm = await startWarmFleet(4);
    const names = ["vm-1", "vm-2", "vm-3", "vm-4"];
    await runWhile(warm, Promise.all(names.map((name) => warm.requestAtRate(name, 40, 10_000))));
    const before = names.map((name) => warm.vm(name).limits.heldShare("library"));
    warm.partition([
      ["vm-1", "vm-2"],
      ["vm-3", "vm-4"],
    ]);
    await warm.clock.runForMs(500);
    t.same(
      names.map((name) => warm.vm(name).limits.heldShare("library")),
      before,
    );
    const admitted = await runWhile(
      warm,
      Promise.all(names.map((name) => warm.requestAtRate(name, 100, 30_000))),
    );
    const sum = warm.sumShares("requestsPerSecond");
    t.ok(sum <= 80 * 1.01, `${sum} requests per second in both partitions`);
    for (const count of admitted) t.ok(count > 10 * 30, `each VM still serves: ${count}`);
    t.ok(admitted.reduce((left, right) => left + right) <= 80 * 31, admitted.join(" + "));
  },
);

tap.test(
  "a VM that never had a share uses an even part while the home is unreachable",
  async (t) => {
    await using warm = await startWarmFleet(4);
    warm.partition([["vm-1"], ["vm-2"], ["vm-3"], ["vm-4"]], fleet.MemberState.Live);
    const names = ["vm-1", "vm-2", "vm-3", "vm-4"];
    await runWhile(
      warm,
      Promise.all(names.map((name) => warm.vm(name).limits.waitForShare(ACCOUNT))),
    );
    const withoutHome = names.filter((name) => {
      return warm.vm(name).limits.heldShare("library")?.requestsPerSecond === 80 / 4;
    });
    t.equal(withoutHome.length, 3, "all but the home itself");
  },
);

tap.test("the sum returns within the limit after a network partition has healed", async (t) => {
  await using warm = await startWarmFleet(4);
  const names = ["vm-1", "vm-2", "vm-3", "vm-4"];
  warm.partition(
    [
      ["vm-1", "vm-2"],
      ["vm-3", "vm-4"],
    ],
    fleet.MemberState.Dead,
  );
  await warm.clock.runForMs(70_000);
  await runWhile(warm, Promise.all(names.map((name) => warm.requestAtRate(name, 100, 10_000))));
  const partitionedSum = warm.sumShares("requestsPerSecond");
  t.ok(
    partitionedSum > 80 && partitionedSum <= 2 * 80 + 0.01,
    `${partitionedSum} in two partitions that consider each other dead`,
  );
  warm.heal();
  await runWhile(warm, Promise.all(names.map((name) => warm.requestAtRate(name, 100, 15_000))));
  const healedSum = warm.sumShares("requestsPerSecond");
  t.ok(healedSum <= 80.01, `${healedSum} after healing`);
});
