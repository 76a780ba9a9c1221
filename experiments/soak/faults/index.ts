import type * as randoms from "../../../src/_lib/random/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as platformLogStores from "../../../standins/platform/logStore/index.js";
import * as coldReturns from "../coldReturn/index.js";
import * as accountFloods from "../accountFlood/index.js";
import * as crashCauses from "../crashCauses/index.js";
import * as pouring from "../pouring/index.js";
import type * as soakFleets from "../soakFleet/index.js";
import * as startFaults from "../startFaults/index.js";

/** Injects a fault into the fleet from outside; resolves after the fault's duration. */
type Fault = (fleet: soakFleets.SoakFleet, random: randoms.RandomSource) => Promise<void>;

const { StoreMode } = platformLogStores;

/** All faults by the name that the soak test prints. */
export const FAULTS: Readonly<Record<string, Fault>> = {
  "VM killed": async (fleet, random) => {
    drawOne(fleet.vms, random).signal("SIGKILL");
    await sleepMs(500);
  },
  "all VMs killed": async (fleet) => {
    for (const vm of fleet.vms) vm.signal("SIGKILL");
    await sleepMs(1_500);
  },
  "VM stopped in order": async (fleet, random) => {
    drawOne(fleet.vms, random).signal("SIGTERM");
    await sleepMs(1_000 + 2_000 * random.next());
  },
  "VM paused": async (fleet, random) => {
    const vm = drawOne(fleet.vms, random);
    vm.signal("SIGSTOP");
    await sleepMs(500 + 6_000 * random.next());
    vm.signal("SIGCONT");
  },
  "settings changed": async (fleet, random) => {
    drawOne(fleet.vms, random).signal("SIGHUP");
    await sleepMs(200);
  },
  "settings spoiled at the start": (fleet, random) =>
    startFaults.startWithSpoiledSettings(drawOne(fleet.vms, random), random),
  "port in use at the start": (fleet, random) =>
    startFaults.startBesideListener(drawOne(fleet.vms, random), random),
  "settings changed at the start": (fleet, random) =>
    startFaults.signalAtStart(drawOne(fleet.vms, random), random),
  "servers pour bytes": (fleet, random) => pouring.letServersPour(fleet, random),
  "store refuses": (fleet, random) => injectStoreFault(fleet, StoreMode.Refuses, random),
  "store silent": (fleet, random) => injectStoreFault(fleet, StoreMode.Silent, random),
  "store loses answers": (fleet, random) => injectStoreFault(fleet, StoreMode.LosesAnswers, random),
  "history dropped": async (fleet) => {
    fleet.compactTopics();
    await sleepMs(200);
  },
  "store restored": async (fleet, random) => {
    await fleet.disturbStore(StoreMode.Refuses, 1_000 * random.next());
    // A change just before a restore is lost; one just after it gets a reused offset.
    if (random.next() < 0.5) fleet.replaceKey();
    await sleepMs(200 * random.next());
    fleet.restoreStore(fleet.drawCopy(random), 1_500 * random.next());
    await sleepMs(200 * random.next());
    if (random.next() < 0.5) fleet.replaceKey();
    await sleepMs(500 * random.next());
  },
  "configuration changed": async (fleet) => {
    fleet.publishConfiguration();
    await sleepMs(300);
  },
  "key removed": async (fleet) => {
    fleet.replaceKey();
    await sleepMs(300);
  },
  "engines return cold": async (fleet, random) => {
    await coldReturns.returnEnginesCold(fleet, 500 + 2_000 * random.next());
  },
  "server leaves": async (fleet, random) => {
    await fleet.replaceServer(random);
    await sleepMs(500);
  },
  "server killed": async (fleet, random) => {
    const killed = drawOne(fleet.servers, random);
    fleet.servers.splice(fleet.servers.indexOf(killed), 1);
    // The system closes the connections of a process that ends in order.
    killed.crash(true);
    await fleet.replace(killed);
  },
  "data centre evacuated": (fleet, random) =>
    fleet.evacuations.hold(random, 5_500 + 3_000 * random.next()),
  "server names a limit": async (fleet, random) => {
    const server = drawOne(fleet.servers, random);
    fleet.limitServer(server, 2 + 6 * random.next());
    await sleepMs(5_000 + 4_000 * random.next());
    fleet.limitServer(server, null);
  },
  "server asks for a pause": (fleet, random) =>
    injectServerFault(fleet, random, backendServers.refuse(0.5 + 2 * random.next())),
  "server says that it leaves": async (fleet, random) => {
    drawOne(fleet.servers, random).isLeaving = true;
    await fleet.replaceServer(random);
    await sleepMs(500);
  },
  "prompt part crashes engines": (fleet, random) =>
    fleet.makeCrashingCalls(
      crashCauses.CrashKind.PromptPart,
      random,
      7_000 + 2_000 * random.next(),
    ),
  "request crashes servers": (fleet, random) =>
    fleet.makeCrashingCalls(crashCauses.CrashKind.Request, random, 7_000 + 2_000 * random.next()),
  "account floods": (fleet, random) => accountFloods.floodAccount(fleet, random),
  "servers brittle": async (fleet, random) => {
    await fleet.makePlainServersBrittle(6_000 + 4_000 * random.next());
  },
  "server falls silent for a second": async (fleet, random) => {
    const server = drawOne(fleet.servers, random);
    const silenceMs = 800 + 500 * random.next();
    fleet.setFaultyBehaviour(server, fleet.delayNormalBehaviour(server, silenceMs));
    await sleepMs(silenceMs);
    fleet.restoreBehaviour(server);
  },
  "server resets": (fleet, random) =>
    injectServerFault(fleet, random, backendServers.resetWithoutAnswer()),
  "server refuses": (fleet, random) => injectServerFault(fleet, random, backendServers.refuse()),
  "server silent": (fleet, random) =>
    injectServerFault(fleet, random, backendServers.neverAnswer()),
  "server cuts unframed answers": (fleet, random) =>
    injectServerFault(fleet, random, backendServers.resetMidAnswer("part")),
};

/** Draws one item with equal probability; throws for an empty list. */
export function drawOne<T>(items: readonly T[], random: randoms.RandomSource): T {
  const item = items[Math.floor(random.next() * items.length)];
  if (item === undefined) throw new Error("cannot draw from an empty list");
  return item;
}

function injectStoreFault(
  fleet: soakFleets.SoakFleet,
  mode: platformLogStores.StoreMode,
  random: randoms.RandomSource,
): Promise<void> {
  return fleet.disturbStore(mode, 500 + 6_000 * random.next());
}

async function injectServerFault(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
  behaviour: backendServers.Behaviour,
): Promise<void> {
  const server = drawOne(fleet.servers, random);
  fleet.setFaultyBehaviour(server, behaviour);
  await sleepMs(1_000 + 2_000 * random.next());
  fleet.restoreBehaviour(server);
}

function sleepMs(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
