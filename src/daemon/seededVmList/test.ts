import * as neverthrow from "neverthrow";
import tap from "tap";

import * as stepError from "../../_lib/stepError/index.js";
import * as platform from "../../controlPlane/types.js";
import * as lists from "./index.js";

const SEED = {
  name: "vm-1",
  region: "r",
  dataCentre: "a",
  peerAddress: "127.0.0.1",
  peerPort: 1,
  heartbeatPort: 2,
};

const OUTAGE = new stepError.StepError("no answer", {
  code: stepError.ErrorCode.PlatformUnavailable,
  step: "vmList.list",
  execution: stepError.ExecutionState.NotRun,
});

tap.test("the list consists of the seed peers while the platform does not answer", async (t) => {
  const list = new lists.SeededVmList([SEED], { list: async () => neverthrow.err(OUTAGE) });
  const names = (await list.list())._unsafeUnwrap().map((vm) => vm.name);
  t.same(names, ["vm-1"]);
});

tap.test("the platform's entry of a VM takes precedence over its seed peer", async (t) => {
  const leaving = { name: "vm-1", dataCentre: "a", address: "127.0.0.1:2" };
  const listed = [{ ...leaving, listing: platform.VmListing.Leaving }];
  const list = new lists.SeededVmList([SEED], { list: async () => neverthrow.ok(listed) });
  t.same((await list.list())._unsafeUnwrap(), listed);
});

tap.test("without seed peers an outage of the platform is an error", async (t) => {
  const list = new lists.SeededVmList([], { list: async () => neverthrow.err(OUTAGE) });
  t.ok((await list.list()).isErr());
});
