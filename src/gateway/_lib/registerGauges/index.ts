import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import type * as crashes from "../../../crashes/index.js";
import type * as diagnostics from "../../../diagnostics/index.js";
import type * as dispatch from "../../../dispatch/index.js";
import type * as relay from "../../../relay/index.js";
import type * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as connectionLimits from "../connectionLimits/index.js";

/** The parts of a gateway whose state the gauges show. */
export interface GaugeSources {
  readonly view: currentViews.CurrentView;
  readonly mesh: sharedView.PeerMesh;
  readonly dispatcher: relay.EngineDispatcher;
  readonly fleetQueue: dispatch.FleetQueue;
  readonly crashMonitor: crashes.CrashMonitor;
  readonly coldLimits: servers.ColdLimits;
  readonly places: servers.BrittlePlaces;
  readonly callGate: relay.CallGate;
  readonly loads: servers.ServerLoads;
  readonly bytes: byteBudgets.ByteBudget;
  readonly connections: connectionLimits.ConnectionLimits;
  readonly activeCallsCount: () => number;
}

/** Registers the gauges of a gateway. */
export function registerGauges(meters: diagnostics.Meters, sources: GaugeSources): void {
  const { view, mesh, dispatcher, fleetQueue, crashMonitor, loads, activeCallsCount } = sources;
  meters.gauge("active_calls", "Calls being served.", activeCallsCount);
  meters.gauge("waiting_generations", "Generations that wait for room.", () => {
    return dispatcher.waitingCount;
  });
  meters.gauge("peers_waiting_generations", "Generations that wait at other VMs.", () => {
    return fleetQueue.waitingCount;
  });
  meters.gauge("peers_claims", "Claims of other VMs that are known.", () => {
    return mesh.work.peerClaimsCount;
  });
  meters.labelledGauge(
    "peers_work_turned_away",
    "Claims, waiting generations and demands of other VMs that were not kept, as there were too many.",
    ["kind"],
    () => [
      ...mesh.work.listTurnedAway(),
      { labels: { kind: "demands" }, value: sources.callGate.turnedAwayReportsCount },
    ],
  );
  meters.gauge("blamed_suspects", "What ends servers and is kept from them.", () => {
    return crashMonitor.blamedCount;
  });
  meters.gauge("cold_servers", "Servers that are cold or taken to be so.", () => {
    return sources.coldLimits.listCold().length;
  });
  meters.gauge("lent_places", "Places at brittle servers that peers have on loan.", () => {
    return sources.places.lentCount;
  });
  registerShareGauges(meters, sources);
  registerByteGauges(meters, sources.bytes);
  meters.labelledGauge("connections", "Open connections, by server.", ["server"], () =>
    sources.connections.listCounts().map(({ server, openCount }) => {
      return { labels: { server }, value: openCount };
    }),
  );
  meters.gauge("live_vms", "VMs that are up, this one included.", () => mesh.liveVmsCount);
  meters.gauge("configuration_age_seconds", "Age of the configuration in force.", () => {
    return view.configurationAgeMs / 1_000;
  });
  meters.gauge("servers_age_seconds", "Age of what is known of backend servers.", () => {
    return view.replicaOf(sharedView.Topic.Servers).ageMs / 1_000;
  });
  meters.gauge("evacuated_data_centres", "Data centres whose servers get nothing new.", () => {
    return view.listEvacuations().length;
  });
  meters.labelledGauge(
    "engine_time_ratio",
    "Time of a service's engines for prompts and output against the typical one, by extreme.",
    ["service", "work", "extreme"],
    () => [...dispatcher.speeds.listComparisons()].flatMap(listExtremes),
  );
  const listByServer = (read: (counts: ServerCounts) => number) => (): ReturnType<LabelledRead> =>
    loads.listCounts().map((counts) => {
      return { labels: { server: counts.serverId }, value: read(counts) };
    });
  meters.labelledGauge(
    "plain_server_calls",
    "This VM's calls in the last 10 to 20 s.",
    ["server"],
    listByServer(({ sentCount }) => sentCount),
  );
  meters.labelledGauge(
    "plain_server_rejections",
    "Calls of this VM that were rejected.",
    ["server"],
    listByServer(({ rejectionsCount }) => rejectionsCount),
  );
  meters.gauge("plain_load_spread", "Calls to the busiest plain server over the mean.", () => {
    const counts = loads.listCounts().map(({ sentCount }) => sentCount);
    const sum = counts.reduce((total, count) => total + count, 0);
    return sum === 0 ? 1 : (Math.max(...counts) * counts.length) / sum;
  });
  for (const [topic, replica] of view.replicas) {
    meters.gauge(`${topic}_end_offset`, "Offset after the last known record.", () => {
      return replica.endOffset;
    });
    meters.gauge(`${topic}_kept_bytes`, "Size of the known records.", () => replica.sizeBytes);
  }
}

type ServerCounts = ReturnType<servers.ServerLoads["listCounts"]>[number];

type LabelledRead = () => readonly {
  readonly labels: Readonly<Record<"server", string>>;
  readonly value: number;
}[];

interface RatioSample {
  readonly labels: Readonly<Record<"service" | "work" | "extreme", string>>;
  readonly value: number;
}

/** Lists the ratios of a service's fastest and slowest engine. */
function listExtremes([service, speeds]: [
  string,
  readonly dispatch.EngineSpeed[],
]): readonly RatioSample[] {
  if (speeds.length === 0) return [];
  const ratiosByWork = {
    reading: speeds.map(({ readingRatio }) => readingRatio),
    writing: speeds.map(({ writingRatio }) => writingRatio),
  };
  return Object.entries(ratiosByWork).flatMap(([work, ratios]) => [
    { labels: { service, work, extreme: "fastest" }, value: Math.min(...ratios) },
    { labels: { service, work, extreme: "slowest" }, value: Math.max(...ratios) },
  ]);
}

type AccountValues = Parameters<diagnostics.Meters["accountGauge"]>[2];

/** Gauges of the accounts beyond their shares, and of those below that want more. */
function registerShareGauges(
  meters: diagnostics.Meters,
  { dispatcher, callGate }: GaugeSources,
): void {
  const listShares =
    (read: (share: dispatch.AccountShare) => number): AccountValues =>
    () =>
      [...dispatcher.accountShares]
        .filter(([, { shareTokens, usedTokens, queuedTokens }]) => {
          return usedTokens > shareTokens || queuedTokens > 0;
        })
        .map(([name, share]) => ({ account: name ?? "", value: read(share) }));
  const listCallShares =
    (read: (share: dispatch.CallShare) => number): AccountValues =>
    () =>
      [...callGate.sharesByService.values()]
        .flatMap((shares) => [...shares])
        .map(([name, share]) => ({ account: name ?? "", value: read(share) }));
  meters.accountGauge(
    "account_share_tokens",
    "Engine memory that an account may use.",
    listShares(({ shareTokens }) => shareTokens),
  );
  meters.accountGauge(
    "account_used_tokens",
    "Engine memory that an account uses.",
    listShares(({ usedTokens }) => usedTokens),
  );
  meters.accountGauge(
    "account_queued_tokens",
    "Engine memory that an account waits for.",
    listShares(({ queuedTokens }) => queuedTokens),
  );
  meters.accountGauge(
    "account_share_calls",
    "Plain calls a second that are taken of an account beyond its share.",
    listCallShares(({ sharePerSecond }) => sharePerSecond),
  );
  meters.accountGauge(
    "account_demand_calls",
    "Plain calls a second that an account beyond its share sends.",
    listCallShares(({ demandPerSecond }) => demandPerSecond),
  );
}

/** Gauges of the memory that is held for outside parties. */
function registerByteGauges(meters: diagnostics.Meters, bytes: byteBudgets.ByteBudget): void {
  const listByHolder = (read: (holder: byteBudgets.ByteHolder) => number) => () =>
    Object.values(byteBudgets.ByteHolder).map((holder) => {
      return { labels: { holder }, value: read(holder) };
    });
  meters.gauge("held_bytes_limit", "Bytes that may be held for outside parties.", () => {
    return bytes.limitBytes;
  });
  meters.labelledGauge(
    "held_bytes",
    "Bytes held for outside parties.",
    ["holder"],
    listByHolder((holder) => bytes.heldFor(holder)),
  );
  meters.labelledGauge(
    "held_bytes_evictions",
    "Bodies, answers and connections ended since the start, as too many bytes were held.",
    ["holder"],
    listByHolder((holder) => bytes.evictionsOf(holder)),
  );
}
