import tap from "tap";

import * as virtualClocks from "../../../../_lib/virtualClock/index.js";
import * as servers from "../../../../servers/index.js";
import * as fixtures from "../../fixtures/index.js";
import * as handovers from "../index.js";

tap.test(
  "a continuation waits for a cold engine's next slot, and for no rate that is asked for",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const entry = fixtures.createServerEntry("backup", 4);
    const delays = { delayMs: () => 300, reserve: () => undefined };
    const rankOf = (): servers.VmRank => ({ rank: 0, vmsCount: 1 });
    const target = handovers.createBackupTarget(
      { entry, receivedAtMs: 0, leaving: null, leavingSinceMs: 0 },
      "r1",
    );
    if (target === null) throw new Error("there is a backup");
    const waitAt = async (backpressure: servers.ServerBackpressure): Promise<number> => {
      const startedAtMs = clock.nowMs();
      const { signal } = new AbortController();
      const waiting = handovers.reserveContinuation({ backpressure, clock }, target, signal);
      const done = waiting.then(() => clock.nowMs() - startedAtMs);
      await clock.runForMs(1_000);
      return done;
    };
    t.equal(await waitAt(new servers.ServerBackpressure(clock, rankOf, delays)), 300);
    const limited = new servers.ServerBackpressure(clock, rankOf);
    limited.record(entry, 1);
    limited.reserve(entry);
    t.equal(await waitAt(limited), 0);
  },
);
