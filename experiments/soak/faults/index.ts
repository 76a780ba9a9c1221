import type * as randoms from "../../../src/_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as platformLogStores from "../../../standins/platform/logStore/index.js";
import type * as soakFleets from "../soakFleet/index.js";

/** A trouble from outside, for a while. */
type Fault = (fleet: soakFleets.SoakFleet, random: randoms.RandomSource) => Promise<void>;

const { StoreMode } = platformLogStores;

/** All troubles, by the name under which the soak tells them. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  "VM killed": async (fleet, random) => {
    pick(fleet.vms, random).signal("SIGKILL");
    await pause(500);
  },
  "all VMs killed": async (fleet) => {
    for (const vm of fleet.vms) vm.signal("SIGKILL");
    await pause(1_500);
  },
  "VM stopped in order": async (fleet, random) => {
    pick(fleet.vms, random).signal("SIGTERM");
    await pause(1_000 + 2_000 * random.next());
  },
  "VM paused": async (fleet, random) => {
    const vm = pick(fleet.vms, random);
    vm.signal("SIGSTOP");
    await pause(500 + 6_000 * random.next());
    vm.signal("SIGCONT");
  },
  "settings changed": async (fleet, random) => {
    pick(fleet.vms, random).signal("SIGHUP");
    await pause(200);
  },
  "store refuses": (fleet, random) => storeFault(fleet, StoreMode.Refuses, random),
  "store silent": (fleet, random) => storeFault(fleet, StoreMode.Silent, random),
  "store loses answers": (fleet, random) => storeFault(fleet, StoreMode.LosesAnswers, random),
  "history dropped": async (fleet) => {
    fleet.compact();
    await pause(200);
  },
  "configuration changed": async (fleet) => {
    fleet.configure();
    await pause(300);
  },
  "key removed": async (fleet) => {
    fleet.replaceKey();
    await pause(300);
  },
  "server leaves": async (fleet, random) => {
    await fleet.replaceServer(random);
    await pause(500);
  },
  "server resets": (fleet, random) => serverFault(fleet, random, backendServers.breakOff()),
  "server refuses": (fleet, random) => serverFault(fleet, random, backendServers.refuse()),
  "server silent": (fleet, random) => serverFault(fleet, random, backendServers.staySilent()),
  "server cuts unframed answers": (fleet, random) =>
    serverFault(fleet, random, backendServers.resetUnframed("part")),
};

/** Draws one of several. */
export function pick<T>(items: readonly T[], random: randoms.RandomSource): T {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) throw new Error("nothing to draw from");
  return item;
}

async function storeFault(
  fleet: soakFleets.SoakFleet,
  mode: platformLogStores.StoreMode,
  random: randoms.RandomSource,
): Promise<void> {
  fleet.store.setMode(mode);
  await pause(500 + 6_000 * random.next());
  fleet.store.setMode(StoreMode.Serves);
}

async function serverFault(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
  behaviour: backendServers.Behaviour,
): Promise<void> {
  const server = pick(fleet.servers, random);
  fleet.misbehave(server, behaviour);
  await pause(1_000 + 2_000 * random.next());
  fleet.behave(server);
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
