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
  readonly loads: servers.ServerLoads;
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
  meters.gauge("blamed_suspects", "What ends servers and is kept from them.", () => {
    return crashMonitor.blamedCount;
  });
  meters.gauge("live_vms", "VMs that are up, this one included.", () => mesh.liveVmsCount);
  meters.gauge("configuration_age_seconds", "Age of the configuration in force.", () => {
    return view.configurationAgeMs / 1_000;
  });
  meters.gauge("servers_age_seconds", "Age of what is known of backend servers.", () => {
    return view.replicaOf(sharedView.Topic.Servers).ageMs / 1_000;
  });
  meters.serverGauge("plain_server_calls", "This VM's calls in the last 10 to 20 s.", () => {
    return loads.listCounts().map(({ serverId, sentCount }) => ({ serverId, value: sentCount }));
  });
  meters.serverGauge("plain_server_rejections", "Calls of this VM that were rejected.", () => {
    const counts = loads.listCounts();
    return counts.map(({ serverId, rejectionsCount }) => ({ serverId, value: rejectionsCount }));
  });
  meters.gauge("plain_load_spread", "Calls to the busiest plain server over the mean.", () => {
    const counts = loads.listCounts().map(({ sentCount }) => sentCount);
    const sum = counts.reduce((total, count) => total + count, 0);
    return sum === 0 ? 1 : (Math.max(...counts) * counts.length) / sum;
  });
  for (const [topic, replica] of view.replicas) {
    meters.gauge(`${topic}_end_offset`, "Offset after the last known record.", () => {
      return replica.endOffset;
    });
  }
}
