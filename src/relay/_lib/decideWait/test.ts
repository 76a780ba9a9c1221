import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as localWaitings from "../localWaiting/index.js";
import type * as scanQueues from "../scanQueue/index.js";
import * as decideWaits from "./index.js";

const NEED: dispatch.GenerationNeed = {
  promptTokens: 3_000,
  unreadTokens: 3_000,
  expectedOutputTokens: 750,
  producedTokens: 0,
  dataCentre: "dc-a",
};

const ENGINE: dispatch.EngineCandidate = {
  serverId: "e1",
  dataCentre: "dc-a",
  memoryTokens: 34_000,
  slotsCount: 24,
  coldRemainingMs: 0,
  failureRatio: 0,
  isPartitioned: false,
  slownessRatio: 1,
  committedTokens: 28_000,
  usedTokens: 28_000,
  backlogTokens: 0,
  runningCount: 8,
  overdueCount: 0,
  incomingTokens: 0,
  transferTokensPerMs: 16,
  cutRiskRatio: 0,
  writingRatio: 1,
  smoothRunsCount: Infinity,
};

function createWaiting(
  requestId: string,
  timeLeftMs: number,
): localWaitings.LocalWaitingGeneration {
  const clock = new virtualClocks.VirtualClock();
  const request = {
    requestId,
    serviceName: "s",
    need: NEED,
    role: dispatch.ClaimRole.Run as const,
    priority: 1,
    accountName: "acme",
    expectedRunMs: 9_000,
    objectiveAtMs: 1_800,
    deadlineAtMs: timeLeftMs,
    avoidedIds: new Set<string>(),
    signal: new AbortController().signal,
  };
  return localWaitings.createLocalWaiting(request, { clock, vmName: "vm-1" }, () => undefined);
}

function createQueue(
  ordered: readonly dispatch.FleetWaiting[],
  shares: dispatch.AccountShares | null = null,
): scanQueues.ScannedQueue {
  return { ordered, candidates: [ENGINE], allocated: new Map(), shares };
}

const CONTEXT = { nowMs: 0, releaseTokensPerMs: 3, isEvacuated: false, closesAtMs: Infinity };

tap.test("a run that cannot end in time takes no memory that others wait for", async (t) => {
  const late = createWaiting("late", 5_000);
  const others = [createWaiting("other", 39_000), createWaiting("third", 39_000)];
  const refusal = decideWaits.refuseTooLate(late, createQueue([late, ...others]), CONTEXT);
  t.match(refusal, { kind: "no-room", queuedCount: 3 });
  const alone = decideWaits.refuseTooLate(late, createQueue([late]), CONTEXT);
  t.equal(alone, null, "memory is not left unused");
  const [other] = others;
  const inTime = decideWaits.refuseTooLate(other!, createQueue([late, ...others]), CONTEXT);
  t.equal(inTime, null);
  // Expected to take 9 s, but engines write up to 1.7 times as fast.
  const close = createWaiting("close", 6_000);
  t.equal(decideWaits.refuseTooLate(close, createQueue([close, ...others]), CONTEXT), null);
});

tap.test("what waits behind more than is released in its time is refused at once", async (t) => {
  // 3 tokens a millisecond are released; 40 generations ahead need 138,000 tokens.
  const ahead = Array.from({ length: 40 }, (_, index) => createWaiting(`r${index}`, 39_000));
  const last = createWaiting("last", 39_000);
  const share = { shareTokens: 5_000, usedTokens: 9_000, queuedTokens: 141_450 };
  const queue = createQueue([...ahead, last], new Map([["acme", share]]));
  const refusal = decideWaits.refuseUnsatisfiable(last, queue, CONTEXT);
  t.match(refusal, { kind: "no-room", queuedCount: 41, share });
  t.ok(refusal!.expectedWaitMs > 30_000, "the time to return is that of the queue");
  t.equal(decideWaits.refuseUnsatisfiable(ahead[0]!, queue, CONTEXT), null);
  const unknown = { ...CONTEXT, releaseTokensPerMs: 0 };
  t.equal(decideWaits.refuseUnsatisfiable(last, queue, unknown), null, "nothing released yet");
});

// Guards against generations that wait at a stopping VM until it closes their connections.
tap.test(
  "a stopping VM refuses at once what cannot end before it closes its connections",
  async (t) => {
    // Each is expected to run for 9 s.
    const waiting = createWaiting("w", 39_000);
    const queue = createQueue([waiting]);
    const refuse = (
      closesAtMs: number,
      engine?: typeof ENGINE,
    ): ReturnType<typeof decideWaits.refuseAtShutdown> =>
      decideWaits.refuseAtShutdown(waiting, engine, queue, { ...CONTEXT, closesAtMs });
    t.match(refuse(7_600), { kind: "stopping", queuedCount: 1 });
    t.match(refuse(7_600, ENGINE), { kind: "stopping" }, "also if an engine has capacity");
    t.equal(refuse(12_000, ENGINE), null, "it is placed if it can end");
    t.equal(refuse(30_000), null, "it waits if it can end after the wait");
    t.equal(refuse(Infinity), null, "nothing changes at other VMs");
  },
);
