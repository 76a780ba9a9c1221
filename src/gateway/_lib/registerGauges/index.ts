import type * as crashes from "../../../crashes/index.js";
import type * as diagnostics from "../../../diagnostics/index.js";
import type * as dispatch from "../../../dispatch/index.js";
import type * as relay from "../../../relay/index.js";
import type * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";

/** The parts of a gateway whose state the gauges show. */
export interface GaugeSources {
  readonly view: currentViews.CurrentView;
  readonly mesh: sharedView.PeerMesh;
  readonly dispatcher: relay.EngineDispatcher;
  readonly fleetQueue: dispatch.FleetQueue;
  readonly crashMonitor: crashes.CrashMonitor;
  readonly coldLimits: servers.ColdLimits;
  readonly activeCallsCount: () => number;
}

/** Registers the gauges of a gateway. */
export function registerGauges(meters: diagnostics.Meters, sources: GaugeSources): void {
  const { view, mesh, dispatcher, fleetQueue, crashMonitor, activeCallsCount } = sources;
  meters.gauge("active_calls", "Calls being served.", activeCallsCount);
  meters.gauge("waiting_generations", "Generations that wait for room.", () => {
    return dispatcher.waitingCount;
  });
  meters.gauge("peers_waiting_generations", "Generations that wait at other VMs.", () => {
    return fleetQueue.waitingCount;
  });
  meters.gauge("blamed_suspects", "What ends servers and is kept from them.", () => {
    return crashMonitor.blamedCount;
  });
  meters.gauge("cold_servers", "Servers that are cold or taken to be so.", () => {
    return sources.coldLimits.listCold().length;
  });
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
  for (const [topic, replica] of view.replicas) {
    meters.gauge(`${topic}_end_offset`, "Offset after the last known record.", () => {
      return replica.endOffset;
    });
  }
}

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
