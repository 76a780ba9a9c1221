import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as datagrams from "../_lib/datagrams/index.js";
import * as testMeshes from "../_lib/testMesh/index.js";
import * as sharedView from "../index.js";

const { Topic } = sharedView;

async function setUp(names: readonly string[]): Promise<{
  clock: virtualClocks.VirtualClock;
  network: testMeshes.Network;
  vms: readonly testMeshes.Vm[];
}> {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const vms = names.map(
    (name, index) => new testMeshes.Vm(name, network, clock, { coresCount: names.length - index }),
  );
  // The last VM knows all others, like a VM that has just read the registry.
  for (const name of names.slice(0, -1)) {
    vms.at(-1)!.mesh.addPeerAddress({ vmName: name, host: name, port: 1 });
  }
  for (const name of names.slice(1, -1)) {
    vms[0]!.mesh.addPeerAddress({ vmName: name, host: name, port: 1 });
  }
  await clock.runForMs(1_500);
  return { clock, network, vms };
}

function createHeartbeat(vmName: string): datagrams.Heartbeat {
  return {
    kind: datagrams.DatagramKind.Heartbeat,
    vmName,
    host: vmName,
    port: 1,
    dataCentre: "dc-a",
    coresCount: 1,
    startedAtWallMs: 1,
    sentAt: { steadyMs: 0, wallMs: 0 },
    echo: null,
    reachesStore: true,
    reachesServers: true,
    isAnchor: false,
    topics: [],
    topicEpochs: [],
    topicRevisions: [],
    rateStatements: [],
    overloads: [],
    loads: [],
    engineSpeeds: [],
  };
}

tap.test(
  "VMs whose addresses are known on one side only discover each other, and rank by size",
  async (t) => {
    const { vms } = await setUp(["a", "b", "c"]);
    for (const { mesh } of vms) t.equal(mesh.liveVmsCount, 3);
    t.same(
      vms.map(({ mesh }) => mesh.readerRank),
      [0, 1, 2],
    );
  },
);

tap.test("a VM that does not reach the store ranks last among the readers", async (t) => {
  const { clock, vms } = await setUp(["a", "b", "c"]);
  vms[0]!.reachesStore = false;
  await clock.runForMs(600);
  t.same(
    vms.map(({ mesh }) => mesh.readerRank),
    [2, 0, 1],
  );
});

tap.test(
  "a peer's heartbeat renews a view to the age of the peer's view, never below it",
  async (t) => {
    const { clock, vms } = await setUp(["a", "b"]);
    const [reader, other] = vms as [testMeshes.Vm, testMeshes.Vm];
    reader.confirm(5);
    other.confirm(5);
    await clock.runForMs(2_000);
    t.equal(other.configuration.ageMs, 2_000, "no VM has read the store since");
    reader.confirm(5);
    await clock.runForMs(600);
    t.ok(other.configuration.ageMs < 1_200, "the reader's confirmation has arrived");
    t.ok(other.configuration.ageMs >= 600, "the age is never underestimated");
  },
);

tap.test(
  "a VM whose replica lags is notified of the peer that is ahead, and its age is not renewed",
  async (t) => {
    const { clock, vms } = await setUp(["a", "b"]);
    const [reader, other] = vms as [testMeshes.Vm, testMeshes.Vm];
    other.confirm(5);
    reader.confirm(9);
    await clock.runForMs(600);
    t.ok(other.behindReports.includes("configuration at a"));
    t.ok(other.configuration.ageMs >= 600);
  },
);

tap.test(
  "a VM that is only listed counts among all known VMs, and not among live ones",
  async (t) => {
    const { vms } = await setUp(["a", "b", "c"]);
    const [first] = vms as [testMeshes.Vm];
    first.mesh.addPeerAddress({ vmName: "listed", host: "listed", port: 1 });
    t.equal(first.mesh.rankFor("server").vmsCount, 3);
    t.equal(first.mesh.rankFor("server", true).vmsCount, 4);
  },
);

tap.test("records read by one VM are applied at the others", async (t) => {
  const { clock, vms } = await setUp(["a", "b"]);
  const [reader, other] = vms as [testMeshes.Vm, testMeshes.Vm];
  other.confirm(5);
  const record = { key: "k", offset: 5, value: Buffer.from("v") };
  reader.mesh.broadcastRecords(Topic.Configuration, 5, {
    records: [record],
    endOffset: 6,
    epoch: 0,
  });
  await clock.runForMs(10);
  t.equal(other.configuration.endOffset, 6);
});

tap.test("records that exceed one datagram are sent in several", async (t) => {
  const { clock, vms } = await setUp(["a", "b"]);
  const [reader, other] = vms as [testMeshes.Vm, testMeshes.Vm];
  other.confirm(5);
  const records = Array.from({ length: 23 }, (_, index) => {
    return { key: `k${index}`, offset: 5 + index, value: Buffer.alloc(200, index) };
  });
  reader.mesh.broadcastRecords(Topic.Configuration, 5, { records, endOffset: 28, epoch: 0 });
  await clock.runForMs(10);
  t.equal(other.configuration.endOffset, 28);
  t.equal(other.configuration.snapshot().records.length, 23);
  t.same(other.behindReports, [], "no replica has to be fetched");
});

tap.test(
  "claims are sent to all VMs at once, and are removed when their VM falls silent",
  async (t) => {
    const { clock, network, vms } = await setUp(["a", "b", "c"]);
    const claim: dispatch.Claim = {
      requestId: "r1",
      role: dispatch.ClaimRole.Run,
      vmName: "a",
      serverId: "e1",
      unreadTokens: 100,
      promptTokens: 100,
      expectedOutputTokens: 50,
      producedTokens: 0,
      hasFirstEvent: false,
    };
    vms[0]!.claims.put(claim);
    vms[0]!.mesh.work.announceClaim(claim);
    await clock.runForMs(10);
    t.equal(vms[1]!.claims.computeLoad("e1").runningCount, 1);
    t.equal(vms[2]!.claims.computeLoad("e1").runningCount, 1);
    network.isolate("a");
    await clock.runForMs(2_500);
    t.equal(vms[1]!.mesh.liveVmsCount, 2);
    t.equal(vms[1]!.claims.computeLoad("e1").runningCount, 0);
    network.heal("a");
    await clock.runForMs(2_500);
    t.equal(vms[1]!.mesh.liveVmsCount, 3, "a VM rejoins after a partition");
    t.equal(vms[1]!.claims.computeLoad("e1").runningCount, 1, "its claims are applied again");
  },
);

tap.test(
  "a generation that waits at one VM is known at the others until it stops waiting",
  async (t) => {
    const { clock, network, vms } = await setUp(["a", "b"]);
    const [owner, other] = vms as [testMeshes.Vm, testMeshes.Vm];
    const need = {
      promptTokens: 3_000,
      unreadTokens: 3_000,
      expectedOutputTokens: 700,
      producedTokens: 0,
      dataCentre: "dc-a",
    };
    const waiting: dispatch.FleetWaiting = {
      requestId: "r1",
      vmName: "a",
      serviceName: "s",
      priority: 1,
      need,
      enqueuedAtWallMs: 10,
      objectiveAtWallMs: 1_810,
      avoidedIds: new Set(),
    };
    owner.mesh.work.announceWaiting(waiting);
    await clock.runForMs(10);
    t.same(other.queue.listByService("s"), [waiting]);
    owner.mesh.work.announceWaitingEnd("r1");
    await clock.runForMs(10);
    t.same(other.queue.listByService("s"), []);
    owner.waiting.push(waiting);
    await clock.runForMs(2_500);
    t.same(other.queue.listByService("s"), [waiting], "a summary replaces a lost message");
    network.isolate("a");
    await clock.runForMs(2_500);
    t.same(other.queue.listByService("s"), [], "it is removed when its VM falls silent");
  },
);

tap.test("a VM that sends a leave message is removed at once", async (t) => {
  const { clock, vms } = await setUp(["a", "b"]);
  vms[0]!.mesh.sendLeave();
  vms[0]!.mesh[Symbol.dispose]();
  await clock.runForMs(10);
  t.equal(vms[1]!.mesh.liveVmsCount, 1);
});

tap.test(
  "an echo of a VM's former process does not keep its view from being renewed",
  async (t) => {
    const { clock, vms } = await setUp(["a", "b"]);
    const [restarted, peer] = vms as [testMeshes.Vm, testMeshes.Vm];
    restarted.confirm(5);
    // The monotonic clock of the former process had advanced further.
    const formerReading = { steadyMs: clock.nowMs() + 60_000, wallMs: clock.wallTimeMs() - 1_000 };
    restarted.mesh.onHeartbeat({
      ...createHeartbeat(peer.name),
      sentAt: formerReading,
      echo: formerReading,
      echoStartedAtWallMs: 0,
      topics: [[5, 0]],
    });
    await clock.runForMs(100);
    restarted.confirm(5);
    t.equal(restarted.configuration.ageMs, 0);
  },
);

// Guards against a table of VMs that grows with every name in a datagram, and heartbeats that become rarer with it.
tap.test("names in datagrams beyond any fleet's size are not taken for VMs", async (t) => {
  const { clock, network, vms } = await setUp(["a", "b"]);
  const [first] = vms as [testMeshes.Vm];
  const stranger = network.openSocket("stranger");
  for (let index = 0; index < 5_000; index += 1) {
    stranger.send(datagrams.encodeDatagram(createHeartbeat(`stranger-${index}`)), "a", 1);
    first.mesh.addPeerAddress({ vmName: `listed-${index}`, host: "listed", port: 1 });
  }
  await clock.runForMs(10);
  t.ok(first.mesh.liveVmsCount < 600, `${first.mesh.liveVmsCount} VMs are taken to be live`);
  const { vmsCount } = first.mesh.rankFor("key", true);
  t.ok(vmsCount < 600, `${vmsCount} VMs are known`);
  t.ok(first.mesh.livePeers().some(({ vmName }) => vmName === "b"));
});
