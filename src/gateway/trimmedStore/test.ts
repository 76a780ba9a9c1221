import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as sharedView from "../../sharedView/index.js";
import * as virtualFleets from "../_lib/virtualFleet/index.js";
import * as virtualStores from "../_lib/virtualStore/index.js";

const { Topic } = sharedView;

// Guards against calls that go to servers which have left, as the record of their leaving was deleted before any VM
// read it, and the listing that replaces it reaches the peers as records.
tap.test("a VM that hears only its peers drops a server whose removal was trimmed", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const store = new virtualStores.VirtualStore(clock);
  const fleet = new virtualFleets.VirtualFleet(clock, store);
  for (const id of ["s1", "s2"]) store.append(Topic.Servers, id, "1@dc-a");
  fleet.publish(1);
  for (const name of ["reader", "other"]) fleet.start(name);
  await clock.runForMs(3_000);
  for (const name of ["reader", "other"]) fleet.storeless.add(name);
  await clock.runForMs(1_300);
  store.append(Topic.Servers, "s1", null);
  store.append(Topic.Servers, "s2", "2@dc-a");
  store.trim(Topic.Servers);
  fleet.storeless.delete("reader");
  await clock.runForMs(4_000);
  for (const [name, { directory, view }] of fleet.vms) {
    const availableIds = directory.listAvailable("s").map(({ entry }) => entry.id);
    t.same(availableIds, ["s2"], name);
    t.equal(view.replicaOf(Topic.Servers).endOffset, 4, `${name} knows the end`);
  }
  for (const name of ["reader", "other"]) fleet.stop(name);
});
