import * as net from "node:net";

import * as neverthrow from "neverthrow";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import * as virtualFleets from "../virtualFleet/index.js";
import * as virtualStores from "../virtualStore/index.js";
import * as types from "./types.js";

export * from "./types.js";

const { REFUSAL_BY_DENIAL, TunnelDenial } = serverLinks;
const { CALL_KINDS, LinkCut } = types;

const LATENCY_MS = 1;

/** Time within which a call has to reach a server. */
const DEADLINE_MS = 1_000;

/** Servers that a call tries, one after the other, as long as nothing was sent. */
const MAX_TRIES_COUNT = 5;

interface DrillVm {
  readonly name: string;
  readonly random: randoms.RandomSource;
  readonly connector: serverLinks.ServerConnector;
  readonly tunnelServer: serverLinks.TunnelServer;
  cut: types.LinkCut | null;
  readonly directSockets: Set<net.Socket>;
}

/**
 * A fleet on the virtual clock whose VMs call servers all the time, and whose links to the servers a test
 * cuts. The VMs learn of each other by heartbeats, and open tunnels for each other.
 */
export class LinkDrill {
  readonly clock = new virtualClocks.VirtualClock();
  readonly calls: types.DrilledCall[] = [];
  readonly vmNames: readonly string[];
  /** Times at which a VM asked a peer for a tunnel. */
  readonly tunnelRequestsAtMs: number[] = [];
  /** Most tunnels that one peer served at a time. */
  maxTunnelsCount = 0;
  private readonly vms = new Map<string, DrillVm>();
  private readonly fleet: virtualFleets.VirtualFleet;
  private readonly store = new virtualStores.VirtualStore(this.clock);
  private readonly servers: readonly servers.ServerEntry[];
  private readonly tunnelCounts = new Map<string, number>();
  private areServersUp = true;
  private isStopped = false;

  constructor({ dataCentresCount, vmsPerDataCentre, serversCount }: types.LinkDrillOptions) {
    const placeOf = (index: number): string => `dc-${index % dataCentresCount}`;
    this.vmNames = Array.from(
      { length: dataCentresCount * vmsPerDataCentre },
      (_, index) => `vm-${placeOf(index)}-${Math.floor(index / dataCentresCount)}`,
    );
    this.servers = Array.from({ length: serversCount }, (_, index) =>
      createServer(`server-${index}`, placeOf(index)),
    );
    this.fleet = new virtualFleets.VirtualFleet(this.clock, this.store, (name) => ({
      dataCentre: dataCentreOf(name),
      coresCount: 1,
      linkBytesPerMs: Infinity,
    }));
    this.fleet.linkStateOf = (name) =>
      this.vms.get(name)?.connector.linkState ?? serverLinks.LinkState.Unknown;
  }

  /** Starts all VMs, lets them find each other, and begins to make calls. */
  async start(): Promise<void> {
    this.fleet.publish(1);
    for (const name of this.vmNames) {
      this.vms.set(name, this.createVm(name));
      this.fleet.start(name);
    }
    await this.clock.runForMs(3_000);
    for (const vm of this.vms.values()) for (const kind of CALL_KINDS) this.scheduleCall(vm, kind);
    await this.clock.runForMs(2_000);
  }

  /** Ends the calls and stops all VMs. */
  stop(): void {
    this.isStopped = true;
    for (const name of this.vmNames) this.fleet.stop(name);
    for (const { connector } of this.vms.values()) connector[Symbol.dispose]();
  }

  /** Names of the VMs of a data centre. */
  vmsOf(dataCentre: string): readonly string[] {
    return this.vmNames.filter((name) => dataCentreOf(name) === dataCentre);
  }

  /** Cuts the links of VMs to all servers until `heal` is called. */
  cut(vmNames: readonly string[], cut: types.LinkCut): void {
    for (const name of vmNames) {
      const vm = this.vmNamed(name);
      vm.cut = cut;
      if (cut === LinkCut.KeepsOpen) continue;
      for (const socket of vm.directSockets) socket.destroy();
    }
  }

  /** Ends the cuts of all VMs. */
  heal(): void {
    for (const vm of this.vms.values()) vm.cut = null;
  }

  /** Ends all servers, or starts them again. */
  setServersUp(areUp: boolean): void {
    this.areServersUp = areUp;
    if (areUp) return;
    for (const { directSockets } of this.vms.values())
      for (const socket of directSockets) socket.destroy();
  }

  /** Names of the VMs that take themselves to be cut off from all servers. */
  listCutOff(): readonly string[] {
    return [...this.vms.values()]
      .filter(({ connector }) => connector.isCutOff)
      .map(({ name }) => name);
  }

  /** Share of the calls of a kind at some VMs, begun in a span of time, that reached a server in time. */
  shareReached(kind: string, vmNames: readonly string[], fromMs: number, toMs: number): number {
    const relevant = this.calls.filter(
      (call) =>
        call.kind === kind &&
        vmNames.includes(call.vmName) &&
        call.startedAtMs >= fromMs &&
        call.startedAtMs < toMs,
    );
    if (relevant.length === 0) throw new Error(`no ${kind} begun from ${fromMs} to ${toMs} ms`);
    return relevant.filter(({ hasReached }) => hasReached).length / relevant.length;
  }

  private vmNamed(name: string): DrillVm {
    const vm = this.vms.get(name);
    if (vm === undefined) throw new Error(`no VM ${name}`);
    return vm;
  }

  private createVm(name: string): DrillVm {
    const { clock } = this;
    const log = diagnostics.NOOP_DECISION_LOG;
    const random = randoms.createRandom(this.vmNames.indexOf(name) + 1);
    const listPeers = (): readonly serverLinks.TunnelPeer[] =>
      this.fleet.vms.get(name)?.listPeers() ?? [];
    const connector: serverLinks.ServerConnector = new serverLinks.ServerConnector({
      clock,
      random,
      log,
      vmName: name,
      dataCentre: dataCentreOf(name),
      dial: () => this.dial(this.vmNamed(name)),
      listPeers,
      listServers: () => this.servers,
      requestTunnel: (peer, request, signal) => this.requestTunnel(name, peer, request, signal),
    });
    const tunnelServer = new serverLinks.TunnelServer({
      bytes: new byteBudgets.ByteBudget(Infinity),
      meters: new diagnostics.Meters(),
      log,
      listPeers,
      findReachingVm: () => connector.reachingVm,
      lendPlace: () => Promise.resolve(null),
      hasRefused: (serverId) => connector.hasRefused(serverId),
      findDenial: ({ id }) => (connector.isKnownUnreachable(id) ? TunnelDenial.CutOff : null),
      connect: (server, signal) => connector.connectDirectly(server, signal),
    });
    return { name, random, connector, tunnelServer, cut: null, directSockets: new Set() };
  }

  /** Opens a modelled connection: it is connected, refused or left hanging as the links and servers are. */
  private dial(vm: DrillVm): net.Socket {
    const socket = new net.Socket();
    this.clock.schedule(2 * LATENCY_MS, () => {
      if (socket.destroyed || vm.cut === LinkCut.Hangs) return;
      if (vm.cut !== null || !this.areServersUp) {
        socket.emit("error", new Error("connect ECONNREFUSED"));
        return;
      }
      vm.directSockets.add(socket);
      socket.once("close", () => vm.directSockets.delete(socket));
      socket.emit("connect");
    });
    return socket;
  }

  private async requestTunnel(
    vmName: string,
    { vmName: peerName }: serverLinks.TunnelPeer,
    { server }: serverLinks.TunnelRequest,
    signal: AbortSignal,
  ): ReturnType<serverLinks.RequestTunnel> {
    this.tunnelRequestsAtMs.push(this.clock.nowMs());
    const { connector, tunnelServer } = this.vmNamed(peerName);
    await this.clock.sleep(LATENCY_MS);
    const opened = await tunnelServer.open({ vmName, host: vmName }, server, signal);
    await this.clock.sleep(LATENCY_MS);
    if (opened.isOk()) {
      this.countTunnel(peerName, opened.value);
      return neverthrow.ok(opened.value);
    }
    const { denial } = opened.error;
    const referredVm = denial === TunnelDenial.CutOff ? connector.reachingVm : null;
    return neverthrow.err({
      refusal: REFUSAL_BY_DENIAL[denial],
      cause: denial,
      hasAnswered: true,
      doesServerRefuse: connector.hasRefused(server.id),
      referredVm,
    });
  }

  private countTunnel(peerName: string, socket: net.Socket): void {
    const count = (this.tunnelCounts.get(peerName) ?? 0) + 1;
    this.tunnelCounts.set(peerName, count);
    this.maxTunnelsCount = Math.max(this.maxTunnelsCount, count);
    socket.once("close", () =>
      this.tunnelCounts.set(peerName, (this.tunnelCounts.get(peerName) ?? 0) - 1),
    );
  }

  private scheduleCall(vm: DrillVm, kind: types.CallKind): void {
    const delayMs = kind.intervalMs * (0.5 + vm.random.next());
    this.clock.schedule(delayMs, () => {
      if (this.isStopped) return;
      this.scheduleCall(vm, kind);
      void this.runCall(vm, kind);
    });
  }

  private async runCall(vm: DrillVm, kind: types.CallKind): Promise<void> {
    const startedAtMs = this.clock.nowMs();
    const firstIndex = Math.floor(vm.random.next() * this.servers.length);
    let connection: serverLinks.ServerConnection | null = null;
    const options = { requestId: "r", signal: new AbortController().signal };
    for (let tries = 0; tries < MAX_TRIES_COUNT && connection === null; tries += 1) {
      const server = this.servers[(firstIndex + tries) % this.servers.length];
      if (server === undefined) break;
      const connected = await vm.connector.connect(server, options);
      connection = connected.unwrapOr(null);
    }
    const isInTime = this.clock.nowMs() - startedAtMs <= DEADLINE_MS;
    this.calls.push({
      kind: kind.name,
      vmName: vm.name,
      startedAtMs,
      hasReached: connection !== null && isInTime,
      isTunnelled: connection !== null && connection.peer !== null,
    });
    if (connection === null) return;
    const { socket } = connection;
    this.clock.schedule(kind.holdMs, () => void socket.destroy());
  }
}

/** The data centre of a VM, which is part of its name. */
function dataCentreOf(vmName: string): string {
  return vmName.split("-").slice(1, 3).join("-");
}

function createServer(id: string, dataCentre: string): servers.ServerEntry {
  return {
    id,
    serviceName: "s",
    host: id,
    port: 1,
    dataCentre,
    slotsCount: 1,
    state: servers.ServerState.Ready,
    coldRemainingMs: 0,
    bornAtWallMs: 1,
    sequence: 1,
  };
}
