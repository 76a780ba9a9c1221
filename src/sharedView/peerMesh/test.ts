import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as dispatch from "../../dispatch/index.js";
import type * as fleet from "../../fleet/index.js";
import * as ageClocks from "../_lib/ageClock/index.js";
import * as sharedView from "../index.js";

const { Topic, ViewSource } = sharedView;

/** Datagrams between sockets in memory, on the virtual clock; links can be cut. */
class Network {
  private readonly listeners = new Map<string, (bytes: Uint8Array) => void>();
  private readonly cut = new Set<string>();

  constructor(private readonly clock: virtualClocks.VirtualClock) {}

  socket(host: string): fleet.DatagramSocket {
    return {
      send: (bytes, toHost) => {
        if (this.cut.has(host) || this.cut.has(toHost)) return;
        this.clock.schedule(2, () => this.listeners.get(toHost)?.(bytes));
      },
      onMessage: (listener) => {
        this.listeners.set(host, (bytes) => listener(bytes, host, 1));
        return { [Symbol.dispose]: () => void this.listeners.delete(host) };
      },
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  isolate(host: string): void {
    this.cut.add(host);
  }

  heal(host: string): void {
    this.cut.delete(host);
  }
}

class Vm {
  readonly replicas: ReadonlyMap<sharedView.Topic, sharedView.TopicReplica>;
  readonly claims: dispatch.ClaimTable;
  readonly mesh: sharedView.PeerMesh;
  readonly behind: string[] = [];
  reachesStore = true;

  constructor(
    readonly name: string,
    network: Network,
    private readonly clock: virtualClocks.VirtualClock,
    coresCount = 1,
  ) {
    const listener = { onRecords: () => undefined, onListing: () => undefined };
    this.replicas = new Map(
      sharedView.TOPICS.map((topic) => [topic, new sharedView.TopicReplica(clock, listener)]),
    );
    this.claims = new dispatch.ClaimTable(clock);
    this.mesh = new sharedView.PeerMesh({
      clock,
      socket: network.socket(name),
      self: {
        vmName: name,
        host: name,
        port: 1,
        dataCentre: "dc-a",
        coresCount,
        startedAtWallMs: 1,
      },
      replicas: this.replicas,
      claims: this.claims,
      log: diagnostics.SILENT_DECISION_LOG,
      reachesStore: () => this.reachesStore,
      onBehind: (topic, peer) => this.behind.push(`${topic} at ${peer.vmName}`),
      onClaims: () => undefined,
    });
  }

  get configuration(): sharedView.TopicReplica {
    return this.replicas.get(Topic.Configuration)!;
  }

  /** The store confirms to this VM that nothing follows an offset. */
  confirm(endOffset: number): void {
    const now = ageClocks.nowOf(this.clock);
    this.configuration.applyListing({ records: [], endOffset }, now, ViewSource.Store);
  }
}

async function setUp(
  names: readonly string[],
): Promise<{ clock: virtualClocks.VirtualClock; network: Network; vms: readonly Vm[] }> {
  const clock = new virtualClocks.VirtualClock();
  const network = new Network(clock);
  const vms = names.map((name, index) => new Vm(name, network, clock, names.length - index));
  // The last one knows all others, as a VM that has just read the list does.
  for (const name of names.slice(0, -1)) {
    vms.at(-1)!.mesh.introduce({ vmName: name, host: name, port: 1 });
  }
  for (const name of names.slice(1, -1)) {
    vms[0]!.mesh.introduce({ vmName: name, host: name, port: 1 });
  }
  await clock.runForMs(1_500);
  return { clock, network, vms };
}

tap.test("VMs that are introduced one way know each other, and rank by size", async (t) => {
  const { vms } = await setUp(["a", "b", "c"]);
  for (const { mesh } of vms) t.equal(mesh.liveCount, 3);
  t.same(
    vms.map(({ mesh }) => mesh.readerRank),
    [0, 1, 2],
  );
});

tap.test("a VM that does not reach the store reads it last", async (t) => {
  const { clock, vms } = await setUp(["a", "b", "c"]);
  vms[0]!.reachesStore = false;
  await clock.runForMs(600);
  t.same(
    vms.map(({ mesh }) => mesh.readerRank),
    [2, 0, 1],
  );
});

tap.test(
  "a peer's word makes a view as fresh as it was confirmed there, and no fresher",
  async (t) => {
    const { clock, vms } = await setUp(["a", "b"]);
    const [reader, other] = vms as [Vm, Vm];
    reader.confirm(5);
    other.confirm(5);
    await clock.runForMs(2_000);
    t.equal(other.configuration.ageMs, 2_000, "nobody has asked the store since");
    reader.confirm(5);
    await clock.runForMs(600);
    t.ok(other.configuration.ageMs < 1_200, "the reader's confirmation has come");
    t.ok(other.configuration.ageMs >= 600, "it never counts as fresher than it is");
  },
);

tap.test(
  "a VM that lacks records is told where they are, and its age is not renewed",
  async (t) => {
    const { clock, vms } = await setUp(["a", "b"]);
    const [reader, other] = vms as [Vm, Vm];
    other.confirm(5);
    reader.confirm(9);
    await clock.runForMs(600);
    t.ok(other.behind.includes("configuration at a"));
    t.ok(other.configuration.ageMs >= 600);
  },
);

tap.test("records that one VM read come to the others", async (t) => {
  const { clock, vms } = await setUp(["a", "b"]);
  const [reader, other] = vms as [Vm, Vm];
  other.confirm(5);
  const record = { key: "k", offset: 5, value: Buffer.from("v") };
  reader.mesh.shareRecords(Topic.Configuration, 5, { records: [record], endOffset: 6 });
  await clock.runForMs(10);
  t.equal(other.configuration.endOffset, 6);
});

tap.test("claims are known everywhere at once and end with their VM", async (t) => {
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
  vms[0]!.mesh.put(claim);
  await clock.runForMs(10);
  t.equal(vms[1]!.claims.loadOf("e1").runningCount, 1);
  t.equal(vms[2]!.claims.loadOf("e1").runningCount, 1);
  network.isolate("a");
  await clock.runForMs(2_500);
  t.equal(vms[1]!.mesh.liveCount, 2);
  t.equal(vms[1]!.claims.loadOf("e1").runningCount, 0);
  network.heal("a");
  await clock.runForMs(2_500);
  t.equal(vms[1]!.mesh.liveCount, 3, "a VM that was cut off finds back");
  t.equal(vms[1]!.claims.loadOf("e1").runningCount, 1, "and so do its claims");
});

tap.test("a VM that says bye is gone at once", async (t) => {
  const { clock, vms } = await setUp(["a", "b"]);
  vms[0]!.mesh.sayBye();
  vms[0]!.mesh[Symbol.dispose]();
  await clock.runForMs(10);
  t.equal(vms[1]!.mesh.liveCount, 1);
});
