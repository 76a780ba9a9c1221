import * as neverthrow from "neverthrow";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import type * as routing from "../../routing/index.js";
import * as servers from "../../servers/index.js";
import * as sharedView from "../../sharedView/index.js";
import type * as types from "../types.js";
import * as currentViews from "./index.js";

const { Topic, ViewSource } = sharedView;

const CONFIGURATION: routing.Configuration = {
  version: 1,
  routes: [],
  services: [{ name: "s", engine: null, coldStart: null }],
  accounts: null,
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
};

const ENTRY: servers.ServerEntry = {
  id: "e1",
  serviceName: "s",
  host: "127.0.0.1",
  port: 9_000,
  dataCentre: "dc-a",
  slotsCount: 1,
  state: servers.ServerState.Ready,
  coldRemainingMs: 0,
  bornAtWallMs: 1,
  sequence: 1,
};

function setUp(): {
  readonly clock: virtualClocks.VirtualClock;
  readonly directory: servers.ServerDirectory;
  readonly view: currentViews.CurrentView;
  readonly meters: diagnostics.Meters;
  /** The logged events with their fields. */
  readonly lines: [diagnostics.LogEvent, diagnostics.LogFields][];
} {
  const clock = new virtualClocks.VirtualClock();
  const directory = new servers.ServerDirectory(clock);
  const decoder: types.ViewDecoder = {
    decodeConfiguration: ({ key, value }) => {
      if (key !== "config") return null;
      const version = Number(value?.toString());
      return neverthrow.ok({ ...CONFIGURATION, version });
    },
    decodeEvacuation: () => null,
    decodeServer: ({ key }) => neverthrow.ok({ ...ENTRY, id: key }),
  };
  const lines: [diagnostics.LogEvent, diagnostics.LogFields][] = [];
  const log: diagnostics.DecisionLog = {
    record: (_importance, event, fields) => lines.push([event, fields]),
  };
  const meters = new diagnostics.Meters();
  const ports = { clock, decoder, log, meters };
  const view = new currentViews.CurrentView(ports, directory, {
    onConfiguration: () => undefined,
    onStoreRestored: () => undefined,
  });
  return { clock, directory, view, meters, lines };
}

function readClocks(clock: virtualClocks.VirtualClock): { steadyMs: number; wallMs: number } {
  return { steadyMs: clock.nowMs(), wallMs: clock.wallTimeMs() };
}

function record(key: string, offset: number, text: string | null): sharedView.ViewRecord {
  return { key, offset, value: text === null ? null : Buffer.from(text) };
}

/** Applies a configuration, which names the service of the servers. */
function configure(view: currentViews.CurrentView, clock: virtualClocks.VirtualClock): void {
  const listing = { records: [record("config", 0, "1")], endOffset: 1, epoch: 0 };
  const replica = view.replicaOf(Topic.Configuration);
  replica.applyListing(listing, readClocks(clock), ViewSource.Store);
}

tap.test("a configuration is never replaced by an older version", async (t) => {
  const { clock, view } = setUp();
  const replica = view.replicaOf(Topic.Configuration);
  const now = readClocks(clock);
  const listing = { records: [record("config", 3, "7")], endOffset: 4, epoch: 0 };
  replica.applyListing(listing, now, ViewSource.Store);
  t.equal(view.routingTable?.configuration.version, 7);
  const older = { records: [record("config", 4, "6")], endOffset: 5, epoch: 0 };
  replica.applyRecords(4, older, now, ViewSource.Peer);
  t.equal(view.routingTable?.configuration.version, 7);
});

tap.test(
  "entries that lapsed during an outage of the store are kept for a grace time",
  async (t) => {
    const { clock, directory, view } = setUp();
    configure(view, clock);
    const replica = view.replicaOf(Topic.Servers);
    const listing = { records: [record("e1", 0, "x")], endOffset: 1, epoch: 0 };
    replica.applyListing(listing, readClocks(clock), ViewSource.Store);
    await clock.runForMs(5_500);
    const lapsed = { records: [record("e1", 1, null)], endOffset: 2, epoch: 0 };
    replica.applyRecords(1, lapsed, readClocks(clock), ViewSource.Peer);
    t.equal(directory.listAvailable("s").length, 1, "the server may be healthy");
    await clock.runForMs(2_100);
    directory.sweep();
    t.equal(directory.listAvailable("s").length, 0, "its entry was not restored");
  },
);

tap.test("an entry removed while the view is current is dropped at once", async (t) => {
  const { clock, directory, view } = setUp();
  configure(view, clock);
  const replica = view.replicaOf(Topic.Servers);
  const listing = { records: [record("e1", 0, "x")], endOffset: 1, epoch: 0 };
  replica.applyListing(listing, readClocks(clock), ViewSource.Store);
  await clock.runForMs(5_500);
  replica.confirm({ epoch: 0, endOffset: 1 }, readClocks(clock));
  await clock.runForMs(600);
  const removed = { records: [record("e1", 1, null)], endOffset: 2, epoch: 0 };
  replica.applyRecords(1, removed, readClocks(clock), ViewSource.Peer);
  t.equal(directory.listAvailable("s").length, 0);
});

tap.test("entries that a restore of the store has lost are kept for a grace time", async (t) => {
  const { clock, directory, view } = setUp();
  configure(view, clock);
  const replica = view.replicaOf(Topic.Servers);
  const listing = { records: [record("e1", 3, "x")], endOffset: 4, epoch: 0 };
  replica.applyListing(listing, readClocks(clock), ViewSource.Store);
  await clock.runForMs(5_500);
  replica.confirm(listing, readClocks(clock));
  const restored = { records: [], endOffset: 2, epoch: 1 };
  replica.applyListing(restored, readClocks(clock), ViewSource.Store);
  t.equal(directory.listAvailable("s").length, 1);
  await clock.runForMs(2_500);
  directory.sweep();
  t.equal(directory.listAvailable("s").length, 0);
});

// Guards against a configuration that stays old, as entries of other writers have used up the topic's size.
tap.test("a larger configuration is in force though the topic has its largest size", async (t) => {
  const { clock, view, meters, lines } = setUp();
  const replica = view.replicaOf(Topic.Configuration);
  const now = readClocks(clock);
  const first = { records: [record("config", 0, "1")], endOffset: 1, epoch: 0 };
  replica.applyListing(first, now, ViewSource.Store);
  const others = Array.from({ length: 100 }, (_, index) =>
    record(`odd-${index}`, index + 1, "0".repeat(262_144)),
  );
  const flood = { records: others, endOffset: 101, epoch: 0 };
  t.ok(replica.applyRecords(1, flood, now, ViewSource.Store));
  const larger = record("config", 101, "2".padEnd(262_144));
  const next = { records: [larger], endOffset: 102, epoch: 0 };
  t.ok(replica.applyRecords(101, next, now, ViewSource.Store));
  t.equal(view.routingTable?.configuration.version, 2);
  const turnedAwayCount = 101 - replica.snapshot().records.length;
  t.ok(turnedAwayCount > 0);
  const { RecordsTurnedAway } = diagnostics.LogEvent;
  const logged = lines.filter(([event]) => event === RecordsTurnedAway);
  t.match(logged, [[RecordsTurnedAway, { recordsCount: turnedAwayCount }]]);
  t.match(
    await meters.text(),
    `turned_away_records_total{topic="configuration"} ${turnedAwayCount}`,
  );
});

// Guards against a VM that starts and serves nothing, as entries of other writers have filled the topic.
tap.test("a configuration that is listed after too many entries is in force", async (t) => {
  const { clock, view, meters, lines } = setUp();
  const replica = view.replicaOf(Topic.Configuration);
  const others = Array.from({ length: 100 }, (_, index) =>
    record(`a-${index}`, index, "0".repeat(262_144)),
  );
  const listing = { records: [...others, record("config", 100, "7")], endOffset: 101, epoch: 0 };
  t.ok(replica.applyListing(listing, readClocks(clock), ViewSource.Store));
  t.equal(view.routingTable?.configuration.version, 7);
  const { RecordsTurnedAway } = diagnostics.LogEvent;
  const recordsCount = 101 - replica.snapshot().records.length;
  const logged = lines.filter(([event]) => event === RecordsTurnedAway);
  t.match(logged, [[RecordsTurnedAway, { recordsCount, firstKey: `a-${100 - recordsCount}` }]]);
  t.equal(logged.length, 1);
  t.match(await meters.text(), `turned_away_records_total{topic="configuration"} ${recordsCount}`);
});
