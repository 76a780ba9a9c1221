import * as neverthrow from "neverthrow";

import * as logging from "../../../src/_lib/logger/index.js";
import * as randoms from "../../../src/_lib/random/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import * as virtualClock from "../../../src/_lib/virtualClock/index.js";
import * as fleet from "../../../src/fleet/index.js";
import * as platform from "../../../src/controlPlane/types.js";
import * as datagrams from "../../datagrams/hub/index.js";
import * as counters from "../../telemetry/counters/index.js";
import * as pausableClock from "../../pausableClock/index.js";

const HEARTBEAT_PORT = 7_000;
const PEER_PORT = 7_001;

/** The platform's VM list as a test sets it; data centres can be partitioned from it. */
export class FakeVmList {
  listed: platform.ListedVm[] = [];
  readonly partitionedDataCentres = new Set<string>();

  /** Returns the list as the VMs of a data centre read it. */
  viewFrom(dataCentre: string): platform.VmList {
    return { list: () => Promise.resolve(this.read(dataCentre)) };
  }

  private read(
    dataCentre: string,
  ): neverthrow.Result<readonly platform.ListedVm[], stepError.StepError> {
    if (!this.partitionedDataCentres.has(dataCentre)) return neverthrow.ok([...this.listed]);
    return neverthrow.err(
      new stepError.StepError(`the VM list is unreachable from data centre ${dataCentre}`, {
        code: stepError.ErrorCode.PlatformUnavailable,
        step: "vmList.list",
        execution: stepError.ExecutionState.NotRun,
      }),
    );
  }
}

/** One VM of a VirtualFleet. */
export interface VirtualVm {
  readonly membership: fleet.FleetMembership;
  readonly clock: pausableClock.PausableClock;
  readonly socket: datagrams.HubSocket;
  readonly metrics: counters.CounterModel;
  readonly address: string;
}

/** The memberships of many VMs on one virtual clock and an in-memory network. */
export class VirtualFleet {
  readonly clock = new virtualClock.VirtualClock();
  readonly hub: datagrams.DatagramHub;
  readonly list = new FakeVmList();
  readonly vms = new Map<string, VirtualVm>();
  private readonly random: randoms.RandomSource;
  private readonly dataCentreOfAddress = new Map<string, string>();
  private addressesCount = 0;

  constructor(
    seed: number,
    private readonly overrides: Partial<fleet.MembershipOptions> = {},
  ) {
    this.random = randoms.createRandom(seed);
    this.hub = new datagrams.DatagramHub(this.clock, this.random.fork());
  }

  /** Starts VMs named `<dataCentre>-<n>`, counted from 1, in each data centre. */
  startMany(vmsPerDataCentre: number, dataCentres: readonly string[]): void {
    for (let index = 1; index <= vmsPerDataCentre; index += 1) {
      for (const dataCentre of dataCentres) this.start(`${dataCentre}-${index}`, dataCentre);
    }
  }

  /** Starts a VM at a new address and adds it to the platform's list. */
  start(name: string, dataCentre: string, listing = platform.VmListing.Live): VirtualVm {
    const address = this.nextAddress(dataCentre);
    this.list.listed.push({ name, dataCentre, address, listing });
    return this.startAt(name, dataCentre, address);
  }

  /** Stops a VM without a leave message and removes it from the platform's list. */
  async kill(name: string): Promise<void> {
    const vm = this.vms.get(name);
    this.vms.delete(name);
    this.list.listed = this.list.listed.filter((listed) => listed.name !== name);
    await vm?.socket[Symbol.asyncDispose]();
    await vm?.membership[Symbol.asyncDispose]();
  }

  /** Pauses a VM's timers and buffers its received datagrams. */
  pause(name: string): void {
    const vm = this.vms.get(name);
    if (vm === undefined) return;
    vm.clock.pause();
    vm.socket.isPaused = true;
  }

  /** Resumes a paused VM. */
  resume(name: string): void {
    const vm = this.vms.get(name);
    vm?.clock.resume();
    vm?.socket.resume();
  }

  /** Partitions a group of data centres from all others; replaces an earlier partition. */
  partition(dataCentres: readonly string[]): void {
    const isInside = (endpoint: string): boolean => {
      const [address] = endpoint.split(":");
      return dataCentres.includes(this.dataCentreOfAddress.get(address ?? "") ?? "");
    };
    this.hub.partitionWhere((from, to) => isInside(from) !== isInside(to));
  }

  /** Partitions one VM from all others; replaces an earlier partition. */
  isolate(name: string): void {
    const endpoint = `${this.vms.get(name)?.address ?? ""}:${HEARTBEAT_PORT}`;
    this.hub.partitionWhere((from, to) => from === endpoint || to === endpoint);
  }

  /** Returns the state in which one VM sees another, or undefined if it does not know it. */
  stateAt(observer: string, name: string): fleet.MemberState | undefined {
    const members = this.vms.get(observer)?.membership.members() ?? [];
    return members.find((member) => member.name === name)?.state;
  }

  /** Whether all running VMs see the same members, states and incarnations, ignoring dead members. */
  hasAgreedViews(): boolean {
    const views = [...this.vms.values()].map((vm) =>
      vm.membership
        .members()
        .filter((member) => member.state !== fleet.MemberState.Dead)
        .map((member) => `${member.name} ${member.state} ${member.incarnation}`)
        .sort()
        .join("\n"),
    );
    return new Set(views).size <= 1;
  }

  /** Whether every running VM sees exactly the running VMs as live. */
  isEveryRunningVmLive(): boolean {
    const running = [...this.vms.keys()].sort().join("\n");
    const hasCompleteView = (vm: VirtualVm): boolean => {
      const live = vm.membership
        .members()
        .filter((member) => member.state === fleet.MemberState.Live)
        .map((member) => member.name);
      return live.sort().join("\n") === running;
    };
    return [...this.vms.values()].every(hasCompleteView);
  }

  /** Runs the clock until a condition holds; returns the elapsed milliseconds, or Infinity after `limitMs`. */
  async runUntil(isTrue: () => boolean, limitMs: number): Promise<number> {
    const STEP_MS = 100;
    const startedAtMs = this.clock.nowMs();
    while (!isTrue()) {
      if (this.clock.nowMs() - startedAtMs >= limitMs) return Infinity;
      await this.clock.runForMs(STEP_MS);
    }
    return this.clock.nowMs() - startedAtMs;
  }

  private startAt(name: string, dataCentre: string, address: string): VirtualVm {
    const socket = this.hub.open(address, HEARTBEAT_PORT);
    const clock = new pausableClock.PausableClock(this.clock);
    const metrics = new counters.CounterModel();
    const options: fleet.MembershipOptions = {
      ...fleet.DEFAULT_MEMBERSHIP_OPTIONS,
      self: {
        name,
        region: "riga",
        dataCentre,
        peerAddress: address,
        peerPort: PEER_PORT,
        heartbeatPort: HEARTBEAT_PORT,
      },
      fleetKey: "fleet key",
      ...this.overrides,
    };
    const membership = new fleet.FleetMembership(
      options,
      socket,
      this.list.viewFrom(dataCentre),
      clock,
      this.random.fork(),
      logging.NOOP_LOGGER,
      metrics,
    );
    membership.start();
    const vm = { membership, clock, socket, metrics, address };
    this.vms.set(name, vm);
    return vm;
  }

  private nextAddress(dataCentre: string): string {
    this.addressesCount += 1;
    const address = `10.0.${this.addressesCount >> 8}.${this.addressesCount & 255}`;
    this.dataCentreOfAddress.set(address, dataCentre);
    return address;
  }
}
