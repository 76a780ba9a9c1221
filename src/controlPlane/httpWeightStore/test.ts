import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as weightServers from "../../../standins/weights/server/index.js";
import * as httpWeightStore from "./index.js";

const PLATFORM = {
  logUrls: [],
  requestTimeoutMs: 300,
  longPollMs: 1_000,
  vmListIntervalMs: 1_000,
};

tap.test(
  "loads beyond the limit are delayed, and the status states the loads still available",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    const server = new weightServers.WeightStoreServer({ name: "weight-store" }, clock, 2);
    await server.start();
    const platform = { ...PLATFORM, weightStoreUrl: server.url };
    const client = new httpWeightStore.HttpWeightStore({ platform });
    t.teardown(async () => {
      client[Symbol.dispose]();
      await server[Symbol.asyncDispose]();
    });
    t.equal(server.model.reserveLoad(), 0);
    const before = { loadsPerMinuteLimit: 2, loadsAvailableCount: 1 };
    t.same((await client.status())._unsafeUnwrap(), before);
    t.equal(server.model.reserveLoad(), 0);
    t.equal(server.model.reserveLoad(), 60_000);
    t.match((await client.status())._unsafeUnwrap(), { loadsAvailableCount: 0 });
    clock.advanceToMs(180_000);
    t.match((await client.status())._unsafeUnwrap(), { loadsAvailableCount: 2 });
  },
);

tap.test("the status of a store without an address fails as not-run", async (t) => {
  const client = new httpWeightStore.HttpWeightStore({ platform: PLATFORM });
  t.match((await client.status())._unsafeUnwrapErr(), { execution: "not-run" });
});
