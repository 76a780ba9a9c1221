import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as constants from "../constants.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as dispatch from "../index.js";

const { ClaimRole } = dispatch;

tap.test("the load of an engine sums the claims of all VMs", async (t) => {
  const claims = new dispatch.ClaimTable(new virtualClocks.VirtualClock());
  claims.put(fixtures.claim());
  claims.put(fixtures.claim({ requestId: "r2", vmName: "vm-2" }));
  const load = claims.computeLoad("e1");
  t.equal(load.runningCount, 2);
  t.equal(load.backlogTokens, 6_000);
  t.ok(load.committedTokens > 6_000 && load.committedTokens < 8_000);
  t.match(claims.computeLoad("e2"), { committedTokens: 0, backlogTokens: 0, runningCount: 0 });
});

tap.test("the prefill backlog shrinks with time and ends with the first event", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const claims = new dispatch.ClaimTable(clock);
  claims.put(fixtures.claim());
  await clock.runForMs(100);
  const prefilledTokens = 100 * constants.PREFILL_TOKENS_PER_MS;
  t.equal(claims.computeLoad("e1").backlogTokens, 3_000 - prefilledTokens);
  claims.put(fixtures.claim({ hasFirstEvent: true }));
  t.equal(claims.computeLoad("e1").backlogTokens, 0);
});

tap.test("a run counts as overdue until its first event arrives", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const claims = new dispatch.ClaimTable(clock);
  claims.put(fixtures.claim());
  claims.put(fixtures.claim({ requestId: "r2", hasFirstEvent: true }));
  await clock.runForMs(constants.FIRST_EVENT_OVERDUE_MS + 1);
  t.equal(claims.computeLoad("e1").overdueCount, 1);
  claims.put(fixtures.claim({ hasFirstEvent: true }));
  t.equal(claims.computeLoad("e1").overdueCount, 0);
});

tap.test("a backup uses memory, but neither a slot nor prefill time", async (t) => {
  const claims = new dispatch.ClaimTable(new virtualClocks.VirtualClock());
  claims.put(fixtures.claim({ role: ClaimRole.Backup, producedTokens: 500 }));
  const load = claims.computeLoad("e1");
  t.match(load, { committedTokens: 3_500, backlogTokens: 0, runningCount: 0 });
});

tap.test("a run that continues on another engine leaves no claim on the first", async (t) => {
  const claims = new dispatch.ClaimTable(new virtualClocks.VirtualClock());
  claims.put(fixtures.claim());
  claims.put(fixtures.claim({ serverId: "e2" }));
  t.equal(claims.computeLoad("e1").runningCount, 0);
  t.equal(claims.computeLoad("e2").runningCount, 1);
});

tap.test("claims of an unavailable VM and claims without refresh are removed", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const claims = new dispatch.ClaimTable(clock);
  claims.put(fixtures.claim());
  claims.put(fixtures.claim({ requestId: "r2", vmName: "vm-2" }));
  claims.dropVm("vm-2");
  t.equal(claims.computeLoad("e1").runningCount, 1);
  claims.put(fixtures.claim({ requestId: "r3", vmName: "vm-3" }));
  await clock.runForMs(1_000);
  claims.dropStale("vm-1", 900);
  t.equal(claims.computeLoad("e1").runningCount, 1, "the VM's own claim is kept");
  t.equal(claims.find("r3", ClaimRole.Run), undefined);
});

tap.test("the release rate follows the releases of the last seconds", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const claims = new dispatch.ClaimTable(clock);
  for (let index = 0; index < 60; index += 1) {
    claims.put(fixtures.claim({ requestId: `r${index}` }));
    await clock.runForMs(500);
    claims.release(`r${index}`, ClaimRole.Run);
  }
  const tokensPerMs = claims.estimateReleaseRate();
  t.ok(tokensPerMs > 5 && tokensPerMs < 7, `3,000 tokens each 500 ms give ${tokensPerMs}`);
});

tap.test("random histories: releasing every claim leaves every engine without load", async () => {
  const step = fastCheck.record({
    id: fastCheck.integer({ min: 0, max: 4 }),
    server: fastCheck.integer({ min: 0, max: 2 }),
    role: fastCheck.constantFrom(ClaimRole.Run, ClaimRole.Backup),
    isPut: fastCheck.boolean(),
  });
  fastCheck.assert(
    fastCheck.property(fastCheck.array(step, { maxLength: 60 }), (steps) => {
      const claims = new dispatch.ClaimTable(new virtualClocks.VirtualClock());
      for (const { id, server, role, isPut } of steps) {
        const requestId = `r${id}`;
        if (isPut) claims.put(fixtures.claim({ requestId, role, serverId: `e${server}` }));
        else claims.release(requestId, role);
      }
      for (let id = 0; id <= 4; id += 1) {
        claims.release(`r${id}`, ClaimRole.Run);
        claims.release(`r${id}`, ClaimRole.Backup);
      }
      const loads = ["e0", "e1", "e2"].map((serverId) => claims.computeLoad(serverId));
      return loads.every((load) => load.committedTokens === 0 && load.runningCount === 0);
    }),
    { seed: 5, numRuns: 300 },
  );
});
