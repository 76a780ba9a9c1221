import tap, { type Test } from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as serverNetworks from "../../../standins/platform/serverNetwork/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as crashingServers from "../_lib/crashingServers/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { CutMode } = serverNetworks;

const SERVERS_COUNT = 6;

/** Data centres of the gateways after the first, and the names of those that are cut off. */
const FURTHER_DATA_CENTRES = ["dc-a", "dc-b", "dc-b"] as const;
const GATEWAYS_COUNT = 1 + FURTHER_DATA_CENTRES.length;
const CUT_VMS = ["vm-1", "vm-2"] as const;

/** Path of the request that crashes each server which begins to run it. */
const CRASHING_PATH = "/status/bad";

const CRASHING_INTERVAL_MS = 150;
const SOUND_INTERVAL_MS = 30;

/** Crashes after which the VMs have to have learned, and the time that they have for it. */
const LEARNING_CRASHES_COUNT = 3;
const NOTICE_MS = 1_000;

const OBSERVATION_MS = 4_000;

/** Attempts at the request that may reach servers after that. */
const MAX_LATE_ARRIVALS_COUNT = 3;

const CRASH_DELAY_MS = 40;
const ANSWER_DELAY_MS = 10;

/** Time for which the VMs serve sound requests under the cut before the first request that crashes servers. */
const CUT_LEAD_MS = 1_500;

type Cut = (network: serverNetworks.ServerNetwork, vmName: string) => void;

/** How the VMs lose their own links to all servers, by the name of the case. */
const CUTS: Readonly<Record<string, Cut>> = {
  "connections refused": (network, vmName) =>
    network.cut(vmName, { mode: CutMode.Refuse, resetsOpen: true }),
  "connections hang": (network, vmName) =>
    network.cut(vmName, { mode: CutMode.Hang, resetsOpen: true }),
  "new connections hang, open ones live on": (network, vmName) =>
    network.cut(vmName, { mode: CutMode.Hang, resetsOpen: false }),
};

async function testRecognition(t: Test, cut: Cut): Promise<void> {
  const fleet = await testFleets.startReadyFleet(t);
  const servers = new crashingServers.CrashingServers(fleet, {
    serviceName: gatewayFleets.PLAIN_SERVICE,
    isCrashing: ({ target }) => target === CRASHING_PATH,
    crash: backendServers.crashWithoutAnswer(CRASH_DELAY_MS),
    serve: backendServers.answerLater("found", ANSWER_DELAY_MS),
  });
  await servers.start(SERVERS_COUNT);
  for (const dataCentre of FURTHER_DATA_CENTRES) await fleet.addGateway(dataCentre);
  await testFleets.addReadyGateways(fleet, GATEWAYS_COUNT);
  await testFleets.waitUntilServersKnown(fleet, GATEWAYS_COUNT * SERVERS_COUNT);
  for (const vmName of CUT_VMS) cut(fleet.network, vmName);
  using sound = new crashingServers.Traffic(SOUND_INTERVAL_MS, (index) =>
    fleet.call({ path: `/status/${index}`, id: `sound-${index}` }, index % GATEWAYS_COUNT),
  );
  await new Promise((resolve) => setTimeout(resolve, CUT_LEAD_MS));
  using crashing = new crashingServers.Traffic(CRASHING_INTERVAL_MS, (index) =>
    fleet.call({ path: CRASHING_PATH, id: `crashing-${index}` }, index % CUT_VMS.length),
  );
  await testFleets.waitUntil(() => servers.crashes.length >= LEARNING_CRASHES_COUNT);
  const observedFromMs = performance.now() + NOTICE_MS;
  await new Promise((resolve) => setTimeout(resolve, NOTICE_MS + OBSERVATION_MS));
  sound[Symbol.dispose]();
  crashing[Symbol.dispose]();
  const lateCount = servers.arrivalsAtMs.filter((atMs) => atMs >= observedFromMs).length;
  t.ok(
    lateCount <= MAX_LATE_ARRIVALS_COUNT,
    `${lateCount} of ${crashing.answers.length} arrivals, ${servers.crashes.length} crashes`,
  );
  const { TunnelOpened } = diagnostics.LogEvent;
  const isTunnelled = fleet.log.lines.some(
    ({ event, fields }) =>
      event === TunnelOpened && String(fields.requestId).startsWith("crashing-"),
  );
  t.ok(isTunnelled, "the servers are reached through peers");
}

// A VM whose connections hung did not ask its peers whether a server had ended.
for (const [name, cut] of Object.entries(CUTS)) {
  tap.test(`a request that comes only at VMs cut off from the servers (${name})`, (t) =>
    testRecognition(t, cut),
  );
}
