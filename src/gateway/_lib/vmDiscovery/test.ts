import * as neverthrow from "neverthrow";
import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import type * as sharedView from "../../../sharedView/index.js";
import * as vmDiscoveries from "./index.js";

const SELF: sharedView.VmAddress = { vmName: "a", host: "10.0.0.1", port: 7_200 };
const OTHER: sharedView.VmAddress = { vmName: "b", host: "10.0.0.2", port: 7_200 };

/** A registry in memory. */
class Registry implements sharedView.VmRegistry {
  readonly addresses = new Map<string, sharedView.VmAddress>();
  announcementsCount = 0;

  announce(self: sharedView.VmAddress): ReturnType<sharedView.VmRegistry["announce"]> {
    this.announcementsCount += 1;
    this.addresses.set(self.vmName, self);
    return Promise.resolve(neverthrow.ok(null));
  }

  withdraw(vmName: string): ReturnType<sharedView.VmRegistry["withdraw"]> {
    this.addresses.delete(vmName);
    return Promise.resolve(neverthrow.ok(null));
  }

  list(): ReturnType<sharedView.VmRegistry["list"]> {
    return Promise.resolve(neverthrow.ok([...this.addresses.values()]));
  }
}

tap.test("a VM whose entry a restore of the store has lost registers again at once", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const registry = new Registry();
  const found: string[] = [];
  const discovery = new vmDiscoveries.VmDiscovery({
    clock,
    registry,
    self: SELF,
    addPeerAddress: ({ vmName }) => found.push(vmName),
  });
  void discovery.run();
  await clock.runForMs(1_000);
  t.ok(registry.addresses.has("a"));
  registry.addresses.clear();
  registry.addresses.set("b", OTHER);
  discovery.refresh();
  await clock.runForMs(10);
  t.ok(registry.addresses.has("a"));
  t.ok(found.includes("b"));
  t.equal(registry.announcementsCount, 2);
  discovery[Symbol.dispose]();
});
