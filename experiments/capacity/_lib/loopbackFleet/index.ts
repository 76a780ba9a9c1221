import * as neverthrow from "neverthrow";

import * as clocks from "../../../../src/_lib/clock/index.js";
import * as disposableStore from "../../../../src/_lib/disposableStore/index.js";
import * as logging from "../../../../src/_lib/logger/index.js";
import * as randoms from "../../../../src/_lib/random/index.js";
import * as fleet from "../../../../src/fleet/index.js";
import * as peers from "../../../../src/peers/index.js";
import * as platform from "../../../../src/controlPlane/types.js";
import * as counters from "../../../../standins/telemetry/counters/index.js";

const ADDRESS = "127.0.0.1";
const FLEET_KEY = "measuring key";

/** A VM of a measurement: its membership, peer network and metrics. */
export interface LoopbackVm {
  readonly name: string;
  readonly membership: fleet.FleetMembership;
  readonly network: peers.TcpPeerNetwork;
  readonly metrics: counters.CounterModel;
}

/** Size of the fleet. */
export interface LoopbackFleetOptions {
  readonly dataCentresCount: number;
  readonly vmsPerDataCentre: number;
}

/**
 * Runs the membership and peer network of every VM of a fleet in one process, over loopback
 * sockets.
 */
export class LoopbackFleet implements AsyncDisposable {
  readonly vms: LoopbackVm[] = [];
  readonly clock = new clocks.SystemClock();
  private readonly random = randoms.createRandom(1);
  private readonly resources = new disposableStore.DisposableStore();
  private readonly listedVms: platform.ListedVm[] = [];

  /** Starts all VMs; on return, they have not yet discovered each other. */
  static async start(options: LoopbackFleetOptions): Promise<LoopbackFleet> {
    const started = new LoopbackFleet();
    for (let dataCentre = 1; dataCentre <= options.dataCentresCount; dataCentre += 1) {
      for (let index = 1; index <= options.vmsPerDataCentre; index += 1) {
        await started.startVm(`dc-${dataCentre}-vm-${index}`, `dc-${dataCentre}`);
      }
    }
    return started;
  }

  /** Returns whether every VM sees all VMs as live. */
  hasConverged(): boolean {
    return this.vms.every(({ membership }) => {
      const members = membership.members();
      const isLive = members.every((member) => member.state === fleet.MemberState.Live);
      return isLive && members.length === this.vms.length;
    });
  }

  /**
   * Waits until every VM sees all VMs as live; returns the time in ms, or throws after the timeout.
   */
  async waitUntilConverged(timeoutMs: number): Promise<number> {
    const POLL_MS = 250;
    const startedAtMs = this.clock.nowMs();
    while (!this.hasConverged()) {
      const elapsedMs = this.clock.nowMs() - startedAtMs;
      if (elapsedMs > timeoutMs)
        throw new Error(`fleet membership did not converge within ${timeoutMs} ms`);
      await this.clock.sleep(POLL_MS);
    }
    return this.clock.nowMs() - startedAtMs;
  }

  /** Returns the sum of a counter over all VMs. */
  sumCounter(counter: string): number {
    return this.vms.reduce((sum, vm) => sum + vm.metrics.countOf(counter), 0);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private async startVm(name: string, dataCentre: string): Promise<void> {
    const socket = this.resources.add(await fleet.UdpSocket.open(ADDRESS, 0));
    const metrics = new counters.CounterModel();
    const networkOptions: peers.PeerOptions = {
      ...peers.DEFAULT_PEER_OPTIONS,
      vmName: name,
      listenAddress: ADDRESS,
      listenPort: 0,
      fleetKey: FLEET_KEY,
    };
    const directory = { findEndpoint: (vmName: string) => this.endpointOf(vmName) };
    const network = new peers.TcpPeerNetwork(
      networkOptions,
      directory,
      this.clock,
      this.random,
      logging.NOOP_LOGGER,
      metrics,
    );
    await network.listen();
    this.resources.add(network);
    const self: fleet.VmIdentity = {
      name,
      region: `region of ${dataCentre}`,
      dataCentre,
      peerAddress: ADDRESS,
      peerPort: network.port,
      heartbeatPort: socket.port,
    };
    const address = `${ADDRESS}:${socket.port}`;
    this.listedVms.push({ name, dataCentre, address, listing: platform.VmListing.Live });
    const membership = new fleet.FleetMembership(
      { ...fleet.DEFAULT_MEMBERSHIP_OPTIONS, self, fleetKey: FLEET_KEY },
      socket,
      { list: () => Promise.resolve(neverthrow.ok(this.listedVms)) },
      this.clock,
      this.random.fork(),
      logging.NOOP_LOGGER,
      metrics,
    );
    membership.start();
    this.resources.add(membership);
    this.vms.push({ name, membership, network, metrics });
  }

  private endpointOf(vmName: string): peers.PeerEndpoint | undefined {
    const vm = this.vms.find(({ name }) => name === vmName);
    return vm === undefined ? undefined : { address: ADDRESS, port: vm.network.port };
  }
}

/** Measures CPU time of this process and elapsed time since its creation. */
export class ProcessUsageMeter {
  private readonly cpuAtStart = process.cpuUsage();
  private readonly startedAtMs = performance.now();

  /** Returns the CPU time in ms used per elapsed second. */
  cpuMsPerSecond(): number {
    const MICROSECONDS_PER_MS = 1_000;
    const used = process.cpuUsage(this.cpuAtStart);
    const cpuMs = (used.user + used.system) / MICROSECONDS_PER_MS;
    return cpuMs / this.elapsedSeconds();
  }

  /** Returns the seconds elapsed since creation. */
  elapsedSeconds(): number {
    const MS_PER_SECOND = 1_000;
    return (performance.now() - this.startedAtMs) / MS_PER_SECOND;
  }
}

/**
 * Returns the used heap in KB after a garbage collection, which needs Node's option --expose-gc.
 */
export function measureUsedHeapKb(): number {
  const BYTES_PER_KB = 1_024;
  globalThis.gc?.();
  return process.memoryUsage().heapUsed / BYTES_PER_KB;
}
