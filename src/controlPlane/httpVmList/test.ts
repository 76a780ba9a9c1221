import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as faults from "../../../standins/faults/index.js";
import * as vmListServers from "../../../standins/vms/server/index.js";
import * as types from "../types.js";
import * as httpVmList from "./index.js";

const PLATFORM = {
  logUrls: [],
  requestTimeoutMs: 300,
  longPollMs: 1_000,
  vmListIntervalMs: 1_000,
};

const VM: types.ListedVm = {
  name: "a-1",
  dataCentre: "a",
  address: "127.0.0.1",
  listing: types.VmListing.Live,
};

tap.test("a lagging list contains a change only after its lag", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const server = new vmListServers.VmListServer({ name: "vm-list" }, clock);
  await server.start();
  const client = new httpVmList.HttpVmList({ platform: { ...PLATFORM, vmListUrl: server.url } });
  t.teardown(async () => {
    client[Symbol.dispose]();
    await server[Symbol.asyncDispose]();
  });
  server.model.put(VM);
  await server.inject({ fault: faults.FaultKind.Lag, durationMs: 1_000 });
  clock.advanceToMs(500);
  server.model.put({ ...VM, listing: types.VmListing.Leaving });
  clock.advanceToMs(1_400);
  t.same((await client.list())._unsafeUnwrap(), [VM]);
  clock.advanceToMs(1_500);
  t.match((await client.list())._unsafeUnwrap(), [{ name: "a-1", listing: "leaving" }]);
});

tap.test("the list is empty if no address is set", async (t) => {
  const client = new httpVmList.HttpVmList({ platform: PLATFORM });
  t.same((await client.list())._unsafeUnwrap(), []);
});
