import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as servers from "../../../servers/index.js";
import * as sharedView from "../../../sharedView/index.js";
import * as evacuationWatches from "../evacuationWatch/index.js";
import * as virtualFleets from "../virtualFleet/index.js";
import * as viewAgeWatches from "../viewAgeWatch/index.js";
import * as virtualStores from "../virtualStore/index.js";

const { Topic } = sharedView;

/** Time within which a confirmed change has to be in force in a large fleet. */
export const APPLY_MS = 3_000;

/** Time without disturbance of a VM, its links or the store after which the bound holds for it. */
export const STABILITY_MS = 4_000;

/** Time after a restore within which the writers of lost records have written them again. */
const REWRITE_MS = 700;

/** Time after a restore within which the store removes the entries of servers that no longer write. */
const LAPSE_MS = 3_600;

/** Interval at which the servers write their entries. */
const SERVER_HEARTBEAT_MS = 1_200;

const CHECK_INTERVAL_MS = 50;

/** Compressed size of a configuration of about two thousand routes, as VMs send it to each other. */
const CONFIGURATION_BYTES = 60_000;

const LARGE_VM = { coresCount: 1.35, linkBytesPerMs: 25_000 };
const SMALL_VM = { coresCount: 0.324, linkBytesPerMs: 1_250 };

/** Number of large VMs in each data centre. */
const LARGE_VMS_COUNT = 2;

/** Size of a fleet: its data centres, the VMs of each, and the servers. */
export interface DrillOptions {
  readonly dataCentresCount: number;
  readonly vmsPerDataCentre: number;
  readonly serversCount: number;
}

interface ServerState {
  readonly dataCentre: string;
  sequence: number;
  isLeaving: boolean;
}

/**
 * A large fleet on the virtual clock that a test disturbs. After each interval it checks, for each VM
 * that was not itself disturbed, that confirmed changes are in force in time and that servers that
 * said they leave stay unavailable, and that no VM at all underestimates the age of its view;
 * `findings` lists what was violated.
 */
export class FleetDrill {
  readonly findings: string[] = [];
  readonly clock = new virtualClocks.VirtualClock();
  readonly store = new virtualStores.VirtualStore(this.clock);
  readonly fleet: virtualFleets.VirtualFleet;
  readonly vmNames: readonly string[];
  private readonly placements = new Map<string, virtualFleets.VmPlacement>();
  private readonly servers = new Map<string, ServerState>();
  private readonly copies: { atMs: number; copy: virtualStores.StoreCopy }[] = [];
  private readonly highestVersions = new Map<virtualFleets.VirtualVm, number>();
  /** Servers that have told each process in an answer that they leave. */
  private readonly statedIds = new Map<virtualFleets.VirtualVm, Set<string>>();
  private readonly evacuations = new evacuationWatches.EvacuationWatch();
  private readonly viewAges = new viewAgeWatches.ViewAgeWatch();
  private readonly calmSinceMs = new Map<string, number>();
  private storeCalmSinceMs = 0;
  private version = 1;
  private confirmedAtMs = 0;
  private nextHeartbeatAtMs = 0;

  constructor(options: DrillOptions) {
    for (let index = 0; index < options.dataCentresCount * options.vmsPerDataCentre; index += 1) {
      const dataCentre = `dc-${index % options.dataCentresCount}`;
      const rank = Math.floor(index / options.dataCentresCount);
      const size = rank < LARGE_VMS_COUNT ? LARGE_VM : SMALL_VM;
      this.placements.set(`vm-${dataCentre}-${rank}`, { dataCentre, ...size });
    }
    this.vmNames = [...this.placements.keys()];
    this.fleet = new virtualFleets.VirtualFleet(this.clock, this.store, (name) => {
      const placement = this.placements.get(name);
      if (placement === undefined) throw new Error(`no VM ${name}`);
      return placement;
    });
    for (let index = 0; index < options.serversCount; index += 1) {
      const dataCentre = `dc-${index % options.dataCentresCount}`;
      this.servers.set(`server-${index}`, { dataCentre, sequence: 0, isLeaving: false });
    }
  }

  /** Starts all VMs and lets them find each other. */
  async start(): Promise<void> {
    this.fleet.publish(this.version, CONFIGURATION_BYTES);
    this.writeServers();
    for (const name of this.vmNames) this.fleet.start(name);
    await this.runForMs(STABILITY_MS);
  }

  /** Ends all VMs. */
  stop(): void {
    for (const name of this.vmNames) this.fleet.stop(name);
  }

  /** Confirms a change of the configuration, unless the store is down. */
  publish(): void {
    if (!this.store.isUp) return;
    this.version += 3;
    this.fleet.publish(this.version, CONFIGURATION_BYTES);
    this.confirmedAtMs = this.clock.nowMs();
    this.viewAges.publish(this.version, this.confirmedAtMs);
  }

  /** Orders that a data centre is evacuated, or takes it back, unless the store is down. */
  orderEvacuation(dataCentre: string, isEvacuated: boolean): void {
    if (!this.store.isUp) return;
    this.evacuations.order(dataCentre, isEvacuated, this.clock.nowMs());
    this.evacuations.writeTo(this.store);
  }

  /** Makes the store unavailable for a time, and then restores it from a copy if an age is given. */
  interruptStore(durationMs: number, copyAgeMs: number | null): void {
    this.store.isUp = false;
    this.storeCalmSinceMs = Math.max(this.storeCalmSinceMs, this.clock.nowMs() + durationMs);
    this.clock.schedule(durationMs, () => {
      this.store.isUp = true;
      if (copyAgeMs !== null) this.restore(copyAgeMs);
    });
  }

  /** Starts new processes on VMs. */
  restart(names: readonly string[]): void {
    for (const name of names) {
      this.fleet.start(name);
      this.disturb([name], 0);
    }
  }

  /** Adds VMs for a time to one of the sets of the fleet that hold partitioned VMs. */
  cut(cutNames: Set<string>, names: readonly string[], durationMs: number): void {
    this.disturb(names, durationMs);
    this.addFor(cutNames, names, durationMs);
  }

  /** Cuts VMs off from all others; they still reach the store. */
  cutFromPeers(names: readonly string[], durationMs: number): void {
    this.addFor(this.fleet.peerless, names, durationMs);
  }

  /** Cuts data centres off from the others; their VMs reach the store and each other. */
  partitionDataCentres(names: readonly string[], durationMs: number): void {
    this.addFor(this.fleet.partitionedDataCentres, names, durationMs);
  }

  /**
   * Stops a server that never announces it in its entry: the entry is removed, and its answers state that
   * it leaves, before or after the VMs see the removal.
   */
  leave(serverId: string, answerDelayMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined || server.isLeaving || !this.store.isUp) return;
    server.isLeaving = true;
    this.store.append(Topic.Servers, serverId, null);
    this.clock.schedule(answerDelayMs, () => this.answerAsLeaving(serverId));
  }

  /** Lets time pass, and checks the fleet at each interval. */
  async runForMs(durationMs: number): Promise<void> {
    const endsAtMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endsAtMs) {
      await this.clock.runForMs(Math.min(CHECK_INTERVAL_MS, endsAtMs - this.clock.nowMs()));
      const nowMs = this.clock.nowMs();
      if (nowMs >= this.nextHeartbeatAtMs && this.store.isUp) this.writeServers();
      if (this.store.isUp) this.copies.push({ atMs: nowMs, copy: this.store.copy() });
      for (const vm of this.fleet.vms.values()) this.check(vm, nowMs);
    }
  }

  /** Lets all disturbances end, and checks that all VMs know the same. */
  async finish(): Promise<void> {
    await this.runForMs(2 * (STABILITY_MS + APPLY_MS));
    const expected = [...this.servers].filter(
      ([, { dataCentre, isLeaving }]) => !isLeaving && !this.evacuations.isEvacuated(dataCentre),
    );
    const expectedIds = expected.map(([id]) => id).sort();
    for (const { name, directory } of this.fleet.vms.values()) {
      const availableIds = directory.listAvailable("s").map(({ entry }) => entry.id);
      if (availableIds.sort().join() !== expectedIds.join())
        this.findings.push(`${name} knows ${availableIds.join()}, not ${expectedIds.join()}`);
    }
  }

  private restore(copyAgeMs: number): void {
    const wantedAtMs = this.clock.nowMs() - copyAgeMs;
    const found = this.copies.findLast(({ atMs }) => atMs <= wantedAtMs);
    if (found === undefined) return;
    this.store.restore(found.copy);
    this.clock.schedule(REWRITE_MS, () => {
      this.fleet.publish(this.version, CONFIGURATION_BYTES);
      this.evacuations.writeTo(this.store);
      this.writeServers();
    });
    this.clock.schedule(LAPSE_MS, () => {
      for (const [id, { isLeaving }] of this.servers)
        if (isLeaving) this.store.append(Topic.Servers, id, null);
    });
  }

  private writeServers(): void {
    this.nextHeartbeatAtMs = this.clock.nowMs() + SERVER_HEARTBEAT_MS;
    for (const [id, server] of this.servers) {
      if (server.isLeaving) continue;
      server.sequence += 1;
      this.store.append(Topic.Servers, id, `${server.sequence}@${server.dataCentre}`);
    }
  }

  private answerAsLeaving(serverId: string): void {
    for (const vm of this.fleet.vms.values()) {
      if (vm.directory.find(serverId) === undefined) continue;
      vm.directory.markLeaving(serverId, servers.LeavingReason.StatedInAnswer);
      const statedIds = this.statedIds.get(vm) ?? new Set();
      this.statedIds.set(vm, statedIds.add(serverId));
    }
  }

  private disturb(names: readonly string[], durationMs: number): void {
    const endsAtMs = this.clock.nowMs() + durationMs;
    for (const name of names)
      this.calmSinceMs.set(name, Math.max(endsAtMs, this.calmSinceMs.get(name) ?? 0));
  }

  private addFor(names: Set<string>, added: readonly string[], durationMs: number): void {
    for (const name of added) {
      names.add(name);
      this.clock.schedule(durationMs, () => names.delete(name));
    }
  }

  private check(vm: virtualFleets.VirtualVm, nowMs: number): void {
    const highest = this.highestVersions.get(vm) ?? 0;
    if (vm.version < highest) this.findings.push(`${vm.name} went back from ${highest}`);
    this.highestVersions.set(vm, Math.max(highest, vm.version));
    const calmSinceMs = Math.max(this.storeCalmSinceMs, this.calmSinceMs.get(vm.name) ?? 0);
    const isInTouch = nowMs > calmSinceMs + STABILITY_MS && this.store.isUp;
    this.findings.push(...this.evacuations.check(vm, nowMs, isInTouch));
    this.findings.push(...this.viewAges.check(vm, nowMs));
    const isBound = isInTouch && nowMs > this.confirmedAtMs + APPLY_MS;
    if (isBound && vm.version < this.version)
      this.findings.push(`${vm.name} has ${vm.version} of ${this.version} at ${nowMs} ms`);
    for (const serverId of this.statedIds.get(vm) ?? []) {
      if (vm.directory.find(serverId)?.leaving === null)
        this.findings.push(`${vm.name} sends to leaving ${serverId} at ${nowMs} ms`);
    }
  }
}
