import "reflect-metadata";

import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as logging from "../../_lib/logger/index.js";
import type * as randoms from "../../_lib/random/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as platform from "../../controlPlane/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as heartbeatExchange from "../_lib/heartbeatExchange/index.js";
import * as isSuperseding from "../_lib/isSuperseding/index.js";
import * as membershipState from "../_lib/membershipState/index.js";
import * as parseListedAddress from "../_lib/parseListedAddress/index.js";
import * as partnerPicker from "../_lib/partnerPicker/index.js";
import * as seedTracker from "../_lib/seedTracker/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";

const { TOKENS } = tokens;

/**
 * The fleet's membership as this VM sees it. At each interval a member sends a heartbeat, which
 * carries gossip, to another one of its data centre; two relays of each data centre do the same
 * with others. A starting or resumed VM is suspect in its own view until an answer or a timeout.
 */
@tsyringe.injectable()
export class FleetMembership implements types.FleetView, AsyncDisposable {
  readonly self: types.VmIdentity;
  private readonly state: membershipState.MembershipState;
  private readonly exchange: heartbeatExchange.HeartbeatExchange;
  private readonly partners: partnerPicker.PartnerPicker;
  private readonly seeds: seedTracker.SeedTracker;
  private readonly listeners = new Set<() => void>();
  private readonly resources = new disposableStore.DisposableStore();
  private readonly stop = new AbortController();
  /** Times since which leaving members have not answered, by name. */
  private readonly silentLeavingSinceMs = new Map<string, number>();
  private deadProbedAtMs = -Infinity;
  private partitioned: ReadonlySet<string> = new Set();
  private view: readonly types.VmMember[] | undefined;
  private lastTickAtMs: number;
  /** Time until which this VM waits for a first answer before it counts as live; 0 afterwards. */
  private joiningUntilMs: number;

  constructor(
    @tsyringe.inject(TOKENS.membershipOptions) private readonly options: types.MembershipOptions,
    @tsyringe.inject(TOKENS.datagramSocket) socket: types.DatagramSocket,
    @tsyringe.inject(TOKENS.vmList) private readonly vmList: platform.VmList,
    @tsyringe.inject(TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(TOKENS.random) random: randoms.RandomSource,
    @tsyringe.inject(TOKENS.logger) private readonly logger: logging.Logger,
    @tsyringe.inject(TOKENS.metrics) private readonly metrics: telemetry.Metrics,
  ) {
    this.self = options.self;
    this.lastTickAtMs = clock.nowMs();
    this.joiningUntilMs = this.lastTickAtMs + options.joinTimeoutMs;
    const incarnation = isSuperseding.firstIncarnation(clock.wallTimeMs());
    this.state = new membershipState.MembershipState(
      options,
      incarnation,
      () => this.onStateChanged(),
      logger,
      metrics,
    );
    this.exchange = new heartbeatExchange.HeartbeatExchange(
      this.state,
      socket,
      options,
      clock,
      metrics,
      () => this.onAnswer(),
    );
    this.partners = new partnerPicker.PartnerPicker(this.state, random.fork());
    this.seeds = new seedTracker.SeedTracker(options.heartbeatIntervalMs);
    this.resources.add(this.exchange);
  }

  /** Starts sending heartbeats and reading the platform's list of VMs. */
  start(): void {
    const tasks = [this.runHeartbeats(), this.runRelay(), this.runListReader()];
    this.resources.defer(async () => {
      this.stop.abort();
      await Promise.all(tasks);
    });
  }

  /** All known members, including this VM; returns the same array until a member changes. */
  members(): readonly types.VmMember[] {
    if (this.isProcessPaused()) return this.buildView();
    this.view ??= this.buildView();
    return this.view;
  }

  onChange(listener: () => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Announces that this VM takes no new work any more; this cannot be revoked. */
  leave(): void {
    if (this.state.self.state !== types.MemberState.Live) return;
    this.state.announceOwnState(types.MemberState.Leaving);
    for (const member of this.partners.selectInDataCentre(constants.RELAYS_PER_DATA_CENTRE_COUNT)) {
      void this.exchange.ping(heartbeatExchange.targetOf(member), this.options.ackTimeoutMs);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.listeners.clear();
    await this.resources[Symbol.asyncDispose]();
  }

  private async runHeartbeats(): Promise<void> {
    while (!this.stop.signal.aborted) {
      this.tick();
      for (const member of this.partners.selectInDataCentre(1)) void this.probe(member);
      this.probeSeeds();
      await this.sleep(this.options.heartbeatIntervalMs);
    }
  }

  private async runRelay(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const partner = this.partners.selectAcrossDataCentres();
      if (partner !== undefined) {
        const timeoutMs = this.options.relayIntervalMs;
        void this.exchange.ping(heartbeatExchange.targetOf(partner), timeoutMs);
      }
      await this.sleep(this.options.relayIntervalMs);
    }
  }

  private async runListReader(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const listed = await this.vmList.list();
      if (listed.isOk()) this.onVmList(listed.value);
      await this.sleep(this.options.listIntervalMs);
    }
  }

  /** Probes a member directly, then also through others; without an answer it is suspected. */
  private async probe(member: types.VmMember): Promise<void> {
    const { ackTimeoutMs } = this.options;
    if (await this.exchange.ping(heartbeatExchange.targetOf(member), ackTimeoutMs)) {
      this.silentLeavingSinceMs.delete(member.name);
      return;
    }
    const helpers = this.partners.selectIndirectProbers(member);
    const attempts = [
      this.exchange.ping(heartbeatExchange.targetOf(member), 2 * ackTimeoutMs),
      ...helpers.map((helper) => this.exchange.pingThrough(helper, member, 2 * ackTimeoutMs)),
    ];
    const answers = await Promise.all(attempts);
    if (answers.includes(true) || this.stop.signal.aborted || this.isProcessPaused()) return;
    this.onProbeFailed(member);
  }

  private onProbeFailed(member: types.VmMember): void {
    const nowMs = this.clock.nowMs();
    if (member.state === types.MemberState.Live) {
      this.state.setMemberState(member, types.MemberState.Suspect, nowMs);
      return;
    }
    if (member.state !== types.MemberState.Leaving) return;
    const silentSinceMs = this.silentLeavingSinceMs.get(member.name) ?? nowMs;
    this.silentLeavingSinceMs.set(member.name, silentSinceMs);
    if (nowMs - silentSinceMs < this.options.suspicionMs) return;
    this.silentLeavingSinceMs.delete(member.name);
    this.state.setMemberState(member, types.MemberState.Dead, nowMs);
  }

  /** Probes a dead member, since after a partition two VMs may each consider the other dead. */
  private probeDeadMember(nowMs: number): void {
    if (nowMs - this.deadProbedAtMs < constants.DEAD_RETRY_INTERVAL_MS) return;
    this.deadProbedAtMs = nowMs;
    const member = this.partners.pickDead();
    if (member === undefined) return;
    void this.exchange.ping(heartbeatExchange.targetOf(member), this.options.ackTimeoutMs);
  }

  private probeSeeds(): void {
    const isMember = (name: string): boolean => {
      const state = this.state.table.get(name)?.state ?? types.MemberState.Dead;
      return name === this.self.name || state !== types.MemberState.Dead;
    };
    const { heartbeatPort } = this.self;
    for (const vm of this.seeds.takeDueSeeds(isMember, this.clock.nowMs())) {
      const target = parseListedAddress.parseListedAddress(vm.address, heartbeatPort);
      if (target !== undefined) void this.exchange.ping(target, this.options.ackTimeoutMs);
    }
  }

  private onVmList(listed: readonly platform.ListedVm[]): void {
    const nowMs = this.clock.nowMs();
    for (const vm of this.seeds.applyList(listed, nowMs)) {
      if (vm.name === this.self.name) this.leave();
      const member = this.state.table.get(vm.name);
      if (member !== undefined) this.state.setMemberState(member, types.MemberState.Leaving, nowMs);
    }
  }

  /** Checks for a process pause, overdue suspicions, dead members to probe and partitions. */
  private tick(): void {
    const nowMs = this.clock.nowMs();
    const pausedMs = nowMs - this.lastTickAtMs;
    const hasPaused = this.isProcessPaused();
    this.lastTickAtMs = nowMs;
    if (hasPaused) this.onPaused(pausedMs);
    this.endJoiningOnTimeout(nowMs);
    this.expireMembers(nowMs);
    this.probeDeadMember(nowMs);
    this.updatePartitions(nowMs);
  }

  private isProcessPaused(): boolean {
    return this.clock.nowMs() - this.lastTickAtMs > this.options.pauseThresholdMs;
  }

  /** Discards evidence from before a pause; members that suspect this VM will report it. */
  private onPaused(pausedMs: number): void {
    const nowMs = this.clock.nowMs();
    this.logger.warn({ pausedMs }, "process paused beyond the threshold; rejoining the fleet");
    this.metrics.increment("fleet.paused");
    this.exchange.abandonPending();
    this.state.table.resetStateTimes(nowMs);
    this.silentLeavingSinceMs.clear();
    this.state.contacts.excludePause(pausedMs);
    this.joiningUntilMs = nowMs + this.options.joinTimeoutMs;
    this.onStateChanged();
  }

  private onAnswer(): void {
    if (this.joiningUntilMs === 0 || this.isProcessPaused()) return;
    this.joiningUntilMs = 0;
    this.onStateChanged();
  }

  private endJoiningOnTimeout(nowMs: number): void {
    if (this.joiningUntilMs === 0 || nowMs < this.joiningUntilMs) return;
    this.joiningUntilMs = 0;
    this.onStateChanged();
  }

  private expireMembers(nowMs: number): void {
    const { suspicionMs, deadRetentionMs } = this.options;
    const { table, self } = this.state;
    for (const member of table.membersSince(types.MemberState.Suspect, suspicionMs, nowMs)) {
      if (member.dataCentre !== self.dataCentre) continue;
      this.state.setMemberState(member, types.MemberState.Dead, nowMs);
    }
    for (const member of table.membersSince(types.MemberState.Dead, deadRetentionMs, nowMs)) {
      table.remove(member.name);
      this.onStateChanged();
    }
  }

  private updatePartitions(nowMs: number): void {
    const partitioned = this.state.partitionedDataCentres(nowMs);
    const hasChanged =
      partitioned.size !== this.partitioned.size ||
      [...partitioned].some((name) => !this.partitioned.has(name));
    if (!hasChanged) return;
    this.logger.warn({ dataCentres: [...partitioned] }, "partitioned data centres changed");
    this.partitioned = partitioned;
    this.onStateChanged();
  }

  private onStateChanged(): void {
    this.view = undefined;
    for (const listener of this.listeners) listener();
  }

  private buildView(): readonly types.VmMember[] {
    const others = this.state.table.members().map((member) => this.memberInView(member));
    return [this.selfInView(), ...others];
  }

  private selfInView(): types.VmMember {
    const { self } = this.state;
    const isWaiting = this.joiningUntilMs !== 0 || this.isProcessPaused();
    if (!isWaiting || self.state !== types.MemberState.Live) return self;
    return { ...self, state: types.MemberState.Suspect };
  }

  private memberInView(member: types.VmMember): types.VmMember {
    const isLive = member.state === types.MemberState.Live;
    if (!isLive || !this.partitioned.has(member.dataCentre)) return member;
    return { ...member, state: types.MemberState.Suspect };
  }

  private async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.stop.signal).catch(() => undefined);
  }
}
