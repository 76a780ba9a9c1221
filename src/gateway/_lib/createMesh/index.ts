import type * as crashes from "../../../crashes/index.js";
import type * as dispatch from "../../../dispatch/index.js";
import type * as relay from "../../../relay/index.js";
import type * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import type * as currentViews from "../../currentView/index.js";
import type * as types from "../../types.js";
import type * as createServerLinks from "../createServerLinks/index.js";

/** The parts of a VM whose state the mesh shares with the other VMs. */
export interface MeshParts {
  readonly backpressure: servers.ServerBackpressure;
  readonly claims: dispatch.ClaimTable;
  readonly crashMonitor: crashes.CrashMonitor;
  readonly fleetQueue: dispatch.FleetQueue;
  readonly links: createServerLinks.ServerLinks;
  readonly overloadGuard: servers.OverloadGuard;
  readonly loads: servers.ServerLoads;
  readonly view: currentViews.CurrentView;
  readonly getCallGate: () => relay.CallGate;
  readonly getDispatcher: () => relay.EngineDispatcher;
  /** Whether the store answered this VM's last calls. */
  readonly reachesStore: () => boolean;
}

/** Creates a VM's mesh with the other VMs. */
export function createMesh(
  settings: types.GatewaySettings,
  { clock, log, meters, socket }: types.GatewayPorts,
  { backpressure, crashMonitor, getDispatcher, links, loads, overloadGuard, ...parts }: MeshParts,
): sharedView.PeerMesh {
  const { replicas } = parts.view;
  const client = new sharedView.ReplicaClient({ clock, log, replicas });
  const { vmName, dataCentre, coresCount, peers } = settings;
  return new sharedView.PeerMesh({
    clock,
    log,
    meters,
    socket,
    replicas,
    claims: parts.claims,
    fleetQueue: parts.fleetQueue,
    listOwnWaiting: () => getDispatcher().localWaiting,
    self: { vmName, ...peers, dataCentre, coresCount, startedAtWallMs: clock.wallTimeMs() },
    reachesStore: parts.reachesStore,
    linkState: () => links.connector.linkState,
    onReplicaBehind: (topic, peer, state) => void client.catchUp(topic, peer, state),
    onCallDemand: (from, report) => parts.getCallGate().recordPeerDemand(from, report),
    onWorkChange: () => getDispatcher().requestScan(),
    listOverloads: () => overloadGuard.listOverloads(),
    onOverload: (overload) => overloadGuard.recordPeerOverload(overload),
    listLoads: () => loads.listStatements(),
    onLoad: (statement) => loads.recordPeerStatement(statement),
    listRateStatements: () => backpressure.listOwnStatements(),
    onRateStatement: (statement) => backpressure.recordPeerStatement(statement),
    listEngineSpeeds: () => getDispatcher().speeds.listOwnStatements(),
    onEngineSpeed: (vm, statement) => getDispatcher().speeds.recordPeerStatement(vm, statement),
    listSuspects: () => crashMonitor.listReports(),
    onSuspects: (reports) => crashMonitor.applyReports(reports),
  });
}
