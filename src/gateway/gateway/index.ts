import * as events from "node:events";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as crashes from "../../crashes/index.js";
import * as repeats from "../../_lib/repeat/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as relay from "../../relay/index.js";
import * as servers from "../../servers/index.js";
import * as sharedView from "../../sharedView/index.js";
import * as answerObservers from "../_lib/observeAnswerHeads/index.js";
import * as connectionLimits from "../_lib/connectionLimits/index.js";
import * as createColdLimits from "../_lib/createColdLimits/index.js";
import * as createCallerServers from "../_lib/createCallerServer/index.js";
import * as createMeshes from "../_lib/createMesh/index.js";
import * as createPlaces from "../_lib/createPlaces/index.js";
import * as createReaders from "../_lib/createReaders/index.js";
import * as createServerLinks from "../_lib/createServerLinks/index.js";
import * as operatorInterfaces from "../_lib/operatorInterface/index.js";
import * as pauseMonitors from "../_lib/pauseMonitor/index.js";
import * as readiness from "../_lib/recordReadiness/index.js";
import * as recordServerLeaving from "../_lib/recordServerLeaving/index.js";
import * as registerGauges from "../_lib/registerGauges/index.js";
import * as statusServers from "../_lib/statusServers/index.js";
import * as vmDiscoveries from "../_lib/vmDiscovery/index.js";
import type * as callerServers from "../callerServer/index.js";
import * as constants from "../constants.js";
import * as currentViews from "../currentView/index.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;

/** Claims and waiting generations of other VMs are dropped after this time without an update. */
const CLAIM_SILENCE_TIMEOUT_MS = 6_000;

/**
 * One entry VM of the fleet: accepts callers' calls, relays them to backend servers, and shares with
 * the other VMs the records it reads from the platform's store and its claims on engines.
 */
export class Gateway implements AsyncDisposable {
  private readonly resources = new disposableStore.DisposableStore();
  private readonly directory: servers.ServerDirectory;
  private readonly trust: servers.ServerTrust;
  private readonly coldLimits: servers.ColdLimits;
  private readonly reportColdServers: () => void;
  private readonly backpressure: servers.ServerBackpressure;
  private readonly overloadGuard: servers.OverloadGuard;
  private readonly places: servers.BrittlePlaces;
  private readonly loads: servers.ServerLoads;
  private readonly links: createServerLinks.ServerLinks;
  private readonly crashMonitor: crashes.CrashMonitor;
  private readonly claims: dispatch.ClaimTable;
  private readonly fleetQueue: dispatch.FleetQueue;
  private readonly view: currentViews.CurrentView;
  private readonly mesh: sharedView.PeerMesh;
  private readonly callGate: relay.CallGate;
  private readonly dispatcher: relay.EngineDispatcher;
  private readonly callerServer: callerServers.CallerServer;
  private readonly discovery: vmDiscoveries.VmDiscovery;
  private readonly readers: readonly sharedView.TopicReader[];
  private stopAtMs: number | null = null;
  private readonly closing = new AbortController();
  private isListening = false;
  private wasReady = false;

  constructor(
    private readonly settings: types.GatewaySettings,
    private readonly ports: types.GatewayPorts,
  ) {
    const { clock, random } = ports;
    // Every call in progress adds a listener; Node otherwise warns of a leak from the eleventh on.
    events.EventEmitter.setMaxListeners(Infinity, this.closing.signal);
    this.directory = new servers.ServerDirectory(clock);
    this.coldLimits = createColdLimits.createColdLimits(settings, ports, {
      directory: this.directory,
      getView: () => this.view,
      getMesh: () => this.mesh,
    });
    this.reportColdServers = createColdLimits.createColdReporter(this.coldLimits, ports.log);
    this.trust = new servers.ServerTrust(
      clock,
      (dataCentre) => this.mesh.isDataCentreSilent(dataCentre),
      (serverId, verdict) => this.coldLimits.recordOutcome(serverId, verdict),
    );
    const rankOf = (serverId: string): servers.VmRank => this.mesh.rankFor(serverId);
    this.backpressure = new servers.ServerBackpressure(clock, rankOf, this.coldLimits);
    this.overloadGuard = new servers.OverloadGuard(clock, rankOf);
    this.places = createPlaces.createPlaces(settings, ports, this.overloadGuard, {
      getMesh: () => this.mesh,
      knowsFleet: () => this.discovery.knowsFleet,
      typicalMs: (serverId) => this.trust.typicalMs(serverId),
    });
    this.loads = new servers.ServerLoads(clock);
    this.links = createServerLinks.createServerLinks({
      settings,
      ports,
      coldLimits: this.coldLimits,
      directory: this.directory,
      backpressure: this.backpressure,
      places: this.places,
      listPeers: () => this.mesh.livePeers(),
      isStopping: () => this.stopAtMs !== null,
    });
    this.crashMonitor = new crashes.CrashMonitor({
      ...ports,
      vmName: settings.vmName,
      probe: this.links.probe,
      announce: (reports) => this.mesh.crashes.announce(reports),
      isEndExpected: (server) =>
        this.directory.isLeaving(server) || this.overloadGuard.hasRejectedTooMany(server),
    });
    this.claims = new dispatch.ClaimTable(clock);
    this.fleetQueue = new dispatch.FleetQueue(clock);
    this.view = new currentViews.CurrentView(ports, this.directory, {
      onConfiguration: ({ limits }) => this.callerServer.applyLimits(limits),
      onStoreRestored: () => {
        this.discovery.refresh();
        this.crashMonitor.restoreArchive();
      },
    });
    const { backpressure, claims, crashMonitor, fleetQueue, links, loads, overloadGuard } = this;
    const parts = { backpressure, claims, crashMonitor, fleetQueue, links, loads, overloadGuard };
    this.mesh = createMeshes.createMesh(settings, ports, {
      ...parts,
      view: this.view,
      getCallGate: () => this.callGate,
      getDispatcher: () => this.dispatcher,
      reachesStore: () => this.readers.every((reader) => reader.reachesStore),
    });
    this.callGate = new relay.CallGate({
      clock,
      random,
      announce: (report) => this.mesh.work.announceCallDemand(report),
    });
    this.dispatcher = new relay.EngineDispatcher({
      clock,
      random: random.fork(),
      vmName: settings.vmName,
      dataCentre: settings.dataCentre,
      directory: this.directory,
      trust: this.trust,
      backpressure: this.backpressure,
      claims: this.claims,
      fleetQueue: this.fleetQueue,
      broadcast: this.mesh.work,
      engineTraits: (name) => this.view.routingTable?.servicesByName.get(name)?.engine ?? null,
      targetGapMs: (name) => this.view.routingTable?.targetGapMsByService.get(name) ?? null,
    });
    const { directory, mesh, view } = this;
    this.readers = createReaders.createReaders({ ports, directory, mesh, view });
    this.discovery = new vmDiscoveries.VmDiscovery({
      clock,
      registry: ports.registry,
      self: this.address,
      addPeerAddress: (address) => this.mesh.addPeerAddress(address),
    });
    const { callGate, dispatcher, places, trust } = this;
    this.callerServer = createCallerServers.createCallerServer(settings, ports, {
      ...parts,
      ...{ callGate, directory, dispatcher, mesh, places, trust, view },
      resources: this.resources,
      getTimeToStopMs: () =>
        this.stopAtMs === null ? null : Math.max(0, this.stopAtMs - clock.nowMs()),
      vmClosing: this.closing.signal,
    });
  }

  /** Number of calls in progress. */
  get activeCallsCount(): number {
    return this.callerServer.activeCallsCount;
  }

  /**
   * Listens on all addresses, as soon as they are free, and starts to follow the store.
   *
   * @throws if the gateway is stopped before
   */
  async start(): Promise<void> {
    const { settings, ports, directory, backpressure, overloadGuard, view } = this;
    const { clock } = ports;
    const connections = this.resources.add(
      new connectionLimits.ConnectionLimits(settings.maxSocketsCount, ports),
    );
    connections.guard(connectionLimits.AcceptingServer.Callers, this.callerServer.listener);
    this.resources.add(
      await statusServers.startStatusServers(settings, {
        connections,
        isReady: () => this.updateReadiness(),
        replicas: view.replicas,
        tunnelServer: this.links.tunnelServer,
        listPeers: () => this.mesh.livePeers(),
        onPeerStatement: answerObservers.observePeerStatements({
          ...{ directory, backpressure, overloadGuard },
          log: ports.log,
        }),
        meters: ports.meters,
        operatorHandlers: operatorInterfaces.createOperatorHandlers({ settings, clock, view }),
        listening: { ...ports, signal: this.closing.signal },
      }),
    );
    await this.callerServer.listen(settings.callers, this.closing.signal);
    this.isListening = true;
    const { callerServer, dispatcher, discovery, links, mesh } = this;
    const parts = [callerServer, dispatcher, mesh, links.connector, links.tunnelServer, discovery];
    for (const part of parts) this.resources.add(part);
    this.resources.add(this.directory.onLeaving((server) => this.onServerLeaving(server)));
    this.resources.add(createColdLimits.assumeColdAfterEvacuations(directory, this.coldLimits));
    const onPause = (): void => this.crashMonitor.recordPause();
    this.resources.add(pauseMonitors.monitorPauses(ports.clock, ports.log, ports.meters, onPause));
    for (const reader of this.readers) {
      this.resources.add(reader);
      void reader.run();
    }
    void this.discovery.run();
    this.crashMonitor.sweep();
    const sweep = (): void => this.sweep();
    this.resources.add(repeats.repeat(ports.clock, constants.SWEEP_INTERVAL_MS, sweep));
    const { callGate, coldLimits, crashMonitor, fleetQueue, loads, places } = this;
    registerGauges.registerGauges(ports.meters, {
      ...{ callGate, coldLimits, crashMonitor, dispatcher, fleetQueue, loads, mesh, places, view },
      bytes: ports.bytes,
      connections,
      activeCallsCount: () => this.activeCallsCount,
    });
    const { callers, peers } = settings;
    const fields = { callersPort: callers.port, peersPort: peers.port, pid: process.pid };
    ports.log.record(Importance.StateChange, LogEvent.Started, fields);
  }

  /**
   * Reports not ready, waits within the grace period until all calls are answered, then closes the
   * callers' connections and leaves the fleet. Further calls of this method do nothing.
   */
  async stop(): Promise<void> {
    if (this.stopAtMs !== null) return;
    const { clock, log } = this.ports;
    const startedAtMs = clock.nowMs();
    this.stopAtMs = startedAtMs + this.settings.graceMs - constants.GRACE_MARGIN_MS;
    log.record(Importance.StateChange, LogEvent.Stopping, { activeCount: this.activeCallsCount });
    this.dispatcher.finishBy(this.stopAtMs);
    const drainedAtMs = startedAtMs + constants.MIN_DRAIN_MS;
    const answersAtMs = this.stopAtMs - constants.FINAL_ANSWERS_MS;
    for (;;) {
      const nowMs = clock.nowMs();
      const openCount = this.activeCallsCount + this.links.tunnelServer.tunnelsCount;
      const isIdle = openCount === 0 && nowMs >= drainedAtMs;
      if (isIdle || nowMs >= answersAtMs) break;
      this.callerServer.refuseLateBodies();
      await clock.sleep(constants.DRAIN_CHECK_INTERVAL_MS);
    }
    this.closing.abort();
    const cutCount = await this.callerServer.finish(this.stopAtMs);
    log.record(Importance.StateChange, LogEvent.Stopped, { cutCount });
    this.mesh.sendLeave();
    await Promise.race([this.discovery.withdraw(), clock.sleep(constants.SWEEP_INTERVAL_MS)]);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private get address(): sharedView.VmAddress {
    return { vmName: this.settings.vmName, ...this.settings.peers };
  }

  private isReady(): boolean {
    if (!this.isListening || this.stopAtMs !== null || !this.view.isComplete) return false;
    const needsKeys = this.view.routingTable?.configuration.accounts !== null;
    const limitMs = this.settings.revocationMs - constants.REVOCATION_MARGIN_MS;
    return !needsKeys || this.view.configurationAgeMs <= limitMs;
  }

  private updateReadiness(): boolean {
    const isReady = this.isReady();
    if (isReady === this.wasReady) return isReady;
    this.wasReady = isReady;
    const isStopping = this.stopAtMs !== null;
    readiness.recordReadiness(this.ports.log, this.view, { isReady, isStopping });
    return isReady;
  }

  private onServerLeaving(server: servers.KnownServer): void {
    recordServerLeaving.recordServerLeaving(this.ports, this.view, server);
    this.dispatcher.requestScan();
  }

  private sweep(): void {
    this.directory.sweep();
    this.claims.dropStale(this.settings.vmName, CLAIM_SILENCE_TIMEOUT_MS);
    this.fleetQueue.dropStale(CLAIM_SILENCE_TIMEOUT_MS);
    this.crashMonitor.sweep();
    const serverIds = new Set(this.directory.listAll().map(({ entry }) => entry.id));
    const { backpressure, coldLimits, loads, overloadGuard, places, trust } = this;
    const { speeds } = this.dispatcher;
    for (const known of [backpressure, coldLimits, loads, overloadGuard, places, speeds, trust])
      known.retain(serverIds);
    this.reportColdServers();
  }
}
