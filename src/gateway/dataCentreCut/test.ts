import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as serverNetworks from "../../../standins/platform/serverNetwork/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

// Each data centre has more VMs than a VM asks for a tunnel at a time. If only peers of the VM's own data
// centre are asked, and these are cut off as well, nobody is served there.

const { CutMode } = serverNetworks;
const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

const DATA_CENTRES = ["dc-a", "dc-b", "dc-c"] as const;
const VMS_PER_DATA_CENTRE = 4;
const VMS_COUNT = DATA_CENTRES.length * VMS_PER_DATA_CENTRE;
const CALLS_COUNT = 5;
const EVENTS_COUNT = 5;

interface Fleet {
  readonly fleet: gatewayFleets.GatewayFleet;
  readonly servers: readonly backendServers.BackendServer[];
}

/** Starts four gateways in each of three data centres, two plain servers and an engine. */
async function startFleet(t: Test): Promise<Fleet> {
  const fleet = await testFleets.startReadyFleet(t);
  for (const dataCentre of DATA_CENTRES) {
    const isFirst = dataCentre === DATA_CENTRES[0];
    for (let index = isFirst ? 1 : 0; index < VMS_PER_DATA_CENTRE; index += 1)
      await fleet.addGateway(dataCentre);
  }
  await testFleets.addReadyGateways(fleet, VMS_COUNT);
  const answer = backendServers.answerCompletely("done");
  const stream = backendServers.stream({ eventsCount: EVENTS_COUNT, gapMs: 1 });
  const servers = [
    await fleet.addServer("p1", PLAIN_SERVICE, answer),
    await fleet.addServer("p2", PLAIN_SERVICE, answer),
    await fleet.addServer("e1", ENGINE_SERVICE, stream),
  ];
  await testFleets.waitUntilServersKnown(fleet, VMS_COUNT * servers.length);
  const { PeerUp } = diagnostics.LogEvent;
  await testFleets.waitUntil(
    () =>
      fleet.log.lines.filter(({ event }) => event === PeerUp).length >= VMS_COUNT * (VMS_COUNT - 1),
  );
  return { fleet, servers };
}

/** Indices of the VMs of one data centre. */
function vmsOf(dataCentre: (typeof DATA_CENTRES)[number]): readonly number[] {
  const first = DATA_CENTRES.indexOf(dataCentre) * VMS_PER_DATA_CENTRE;
  return Array.from({ length: VMS_PER_DATA_CENTRE }, (_, index) => first + index);
}

function cutOff({ fleet }: Fleet, vms: readonly number[], cut: serverNetworks.Cut): void {
  for (const index of vms) fleet.network.cut(`vm-${index + 1}`, cut);
}

type Request = Omit<gatewayFleets.CallerRequest, "id">;

const REQUESTS: Readonly<Record<string, Request>> = {
  lookups: { path: "/lookup/" },
  filings: { path: "/file/", method: "POST", body: "x" },
  drafts: { path: "/draft/", ...testFleets.DRAFT_REQUEST },
};

/** Makes calls at several VMs at a time, at each one after another; returns how many were not served. */
async function countUnserved(
  { fleet }: Fleet,
  vms: readonly number[],
  request: Request,
): Promise<number> {
  const counts = await Promise.all(
    vms.map(async (vm) => {
      let unservedCount = 0;
      for (let index = 0; index < CALLS_COUNT; index += 1) {
        const id = `${request.path}${vm}-${index}`;
        const answer = await fleet.call({ ...request, id }, vm);
        if (answer.status !== 200 || !answer.isComplete) unservedCount += 1;
      }
      return unservedCount;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}

async function expectServed(t: Test, fleet: Fleet, vms: readonly number[]): Promise<void> {
  for (const [name, request] of Object.entries(REQUESTS))
    t.equal(await countUnserved(fleet, vms, request), 0, `${name} that were not served`);
  const filings = fleet.servers.flatMap(({ runs }) => runs).filter((id) => id.startsWith("/file/"));
  t.equal(filings.length, new Set(filings).size, "no filing ran twice");
}

const CUTS: readonly serverNetworks.Cut[] = [
  { mode: CutMode.Refuse, resetsOpen: true },
  { mode: CutMode.Hang, resetsOpen: true },
  { mode: CutMode.Refuse, resetsOpen: false },
];

for (const cut of CUTS) {
  const open = cut.resetsOpen ? "are reset" : "live on";
  tap.test(
    `a data centre that is cut off is served by the others (new connections ${cut.mode}, open ones ${open})`,
    async (t) => {
      const fleet = await startFleet(t);
      cutOff(fleet, vmsOf("dc-a"), cut);
      await expectServed(t, fleet, vmsOf("dc-a"));
    },
  );
}

tap.test("two of three data centres that are cut off are served by the third", async (t) => {
  const fleet = await startFleet(t);
  const vms = [...vmsOf("dc-a"), ...vmsOf("dc-b")];
  cutOff(fleet, vms, { mode: CutMode.Refuse, resetsOpen: true });
  await expectServed(t, fleet, vms);
});

tap.test("a fleet of which all VMs but one are cut off is served by that one", async (t) => {
  const fleet = await startFleet(t);
  const vms = [...vmsOf("dc-a"), ...vmsOf("dc-b"), ...vmsOf("dc-c")].slice(0, -1);
  cutOff(fleet, vms, { mode: CutMode.Refuse, resetsOpen: true });
  await expectServed(t, fleet, vms);
});

tap.test("VMs of a data centre that are cut off one after another stay served", async (t) => {
  const fleet = await startFleet(t);
  for (const vm of vmsOf("dc-a")) {
    cutOff(fleet, [vm], { mode: CutMode.Refuse, resetsOpen: true });
    t.equal(await countUnserved(fleet, vmsOf("dc-a"), { path: "/lookup/" }), 0);
  }
});

tap.test("a data centre that is cut off does not take that for the ends of servers", async (t) => {
  const fleet = await startFleet(t);
  for (const server of fleet.servers.slice(0, 2))
    server.setBehaviour(backendServers.answerLater("late", 300));
  const vms = vmsOf("dc-a");
  const pending = countUnserved(fleet, vms, { path: "/lookup/" });
  await testFleets.waitUntil(() => fleet.servers.some(({ calls }) => calls.length >= vms.length));
  cutOff(fleet, vms, { mode: CutMode.Refuse, resetsOpen: true });
  t.equal(await pending, 0, "lookups are repeated through peers");
  const { ServerEnded } = diagnostics.LogEvent;
  t.notOk(fleet.fleet.log.lines.some(({ event }) => event === ServerEnded));
});

tap.test("servers that have all ended are not taken for a cut by any VM", async (t) => {
  const fleet = await startFleet(t);
  for (const server of fleet.servers) server.crash();
  const vms = [...vmsOf("dc-a"), ...vmsOf("dc-b"), ...vmsOf("dc-c")];
  const callsCount = VMS_COUNT * CALLS_COUNT;
  t.equal(await countUnserved(fleet, vms, { path: "/lookup/" }), callsCount);
  const { ServersUnreachable } = diagnostics.LogEvent;
  t.notOk(fleet.fleet.log.lines.some(({ event }) => event === ServersUnreachable));
});
