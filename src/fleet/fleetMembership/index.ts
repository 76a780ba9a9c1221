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
 * The fleet as this VM sees it. Members of a data centre exchange heartbeats with a partner at
 * each interval and pass news on with them; two relays of each data centre do the same with
 * other data centres. A VM that starts, or that stood still, counts itself as suspect until
 * another member has answered it.
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
  /** Since when leaving members have not answered. */
  private readonly silentLeavers = new Map<string, number>();
  private retriedDeadAtMs = -Infinity;
  private cutOff: ReadonlySet<string> = new Set();
  private view: readonly types.VmMember[] | undefined;
  private tickedAtMs: number;
  /** Until then this VM waits to hear from others before it takes up a role; 0 once it has. */
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
    this.tickedAtMs = clock.nowMs();
    this.joiningUntilMs = this.tickedAtMs + options.joinTimeoutMs;
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
      () => this.onHeard(),
    );
    this.partners = new partnerPicker.PartnerPicker(this.state, random.fork());
    this.seeds = new seedTracker.SeedTracker(options.heartbeatIntervalMs);
    this.resources.add(this.exchange);
  }

  /** Starts the tasks: heartbeats, relaying, and reading the platform's list. */
  start(): void {
    const tasks = [this.runHeartbeats(), this.runRelay(), this.runListReader()];
    this.resources.defer(async () => {
      this.stop.abort();
      await Promise.all(tasks);
    });
  }

  /** All known members, this VM included; the array stays the same until something changes. */
  members(): readonly types.VmMember[] {
    if (this.isStandingStill()) return this.buildView();
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

  /** Tells everyone that this VM takes no new work any more; it cannot be taken back. */
  leave(): void {
    if (this.state.self.state !== types.MemberState.Live) return;
    this.state.announce(types.MemberState.Leaving);
    for (const member of this.partners.nextInDataCentre(constants.RELAYS_COUNT)) {
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
      for (const member of this.partners.nextInDataCentre(1)) void this.probe(member);
      this.probeSeeds();
      await this.sleep(this.options.heartbeatIntervalMs);
    }
  }

  private async runRelay(): Promise<void> {
    while (!this.stop.signal.aborted) {
      const partner = this.partners.nextAcrossDataCentres();
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
      if (listed.isOk()) this.onList(listed.value);
      await this.sleep(this.options.listIntervalMs);
    }
  }

  /** Tries a partner, then through others; without any answer it is suspected. */
  private async probe(member: types.VmMember): Promise<void> {
    const { ackTimeoutMs } = this.options;
    if (await this.exchange.ping(heartbeatExchange.targetOf(member), ackTimeoutMs)) {
      this.silentLeavers.delete(member.name);
      return;
    }
    const helpers = this.partners.helpersFor(member);
    const attempts = [
      this.exchange.ping(heartbeatExchange.targetOf(member), 2 * ackTimeoutMs),
      ...helpers.map((helper) => this.exchange.pingThrough(helper, member, 2 * ackTimeoutMs)),
    ];
    const answers = await Promise.all(attempts);
    if (answers.includes(true) || this.stop.signal.aborted || this.isStandingStill()) return;
    this.onSilent(member);
  }

  private onSilent(member: types.VmMember): void {
    const nowMs = this.clock.nowMs();
    if (member.state === types.MemberState.Live) {
      this.state.declare(member, types.MemberState.Suspect, nowMs);
      return;
    }
    if (member.state !== types.MemberState.Leaving) return;
    const silentSinceMs = this.silentLeavers.get(member.name) ?? nowMs;
    this.silentLeavers.set(member.name, silentSinceMs);
    if (nowMs - silentSinceMs < this.options.suspicionMs) return;
    this.silentLeavers.delete(member.name);
    this.state.declare(member, types.MemberState.Dead, nowMs);
  }

  /** Two VMs that were parted may each believe that the other is dead; this finds them again. */
  private retryDead(nowMs: number): void {
    if (nowMs - this.retriedDeadAtMs < constants.DEAD_RETRY_INTERVAL_MS) return;
    this.retriedDeadAtMs = nowMs;
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
    for (const vm of this.seeds.takeDue(isMember, this.clock.nowMs())) {
      const target = parseListedAddress.parseListedAddress(vm.address, heartbeatPort);
      if (target !== undefined) void this.exchange.ping(target, this.options.ackTimeoutMs);
    }
  }

  private onList(listed: readonly platform.ListedVm[]): void {
    const nowMs = this.clock.nowMs();
    for (const vm of this.seeds.onList(listed, nowMs)) {
      if (vm.name === this.self.name) this.leave();
      const member = this.state.table.get(vm.name);
      if (member !== undefined) this.state.declare(member, types.MemberState.Leaving, nowMs);
    }
  }

  /** Looks for a pause of this process, for overdue suspicions and for silent data centres. */
  private tick(): void {
    const nowMs = this.clock.nowMs();
    const pausedMs = nowMs - this.tickedAtMs;
    const hasPaused = this.isStandingStill();
    this.tickedAtMs = nowMs;
    if (hasPaused) this.onPaused(pausedMs);
    this.endJoiningAlone(nowMs);
    this.declareOverdue(nowMs);
    this.retryDead(nowMs);
    this.updateCutOff(nowMs);
  }

  private isStandingStill(): boolean {
    return this.clock.nowMs() - this.tickedAtMs > this.options.pauseThresholdMs;
  }

  /** What was believed before the pause is no evidence; who suspects this VM will tell it so. */
  private onPaused(pausedMs: number): void {
    const nowMs = this.clock.nowMs();
    this.logger.warn({ pausedMs }, "this process stood still; joining again");
    this.metrics.increment("fleet.paused");
    this.exchange.abandonPending();
    this.state.table.restartTimes(nowMs);
    this.silentLeavers.clear();
    this.state.contacts.excludePause(pausedMs);
    this.joiningUntilMs = nowMs + this.options.joinTimeoutMs;
    this.onStateChanged();
  }

  private onHeard(): void {
    if (this.joiningUntilMs === 0 || this.isStandingStill()) return;
    this.joiningUntilMs = 0;
    this.onStateChanged();
  }

  private endJoiningAlone(nowMs: number): void {
    if (this.joiningUntilMs === 0 || nowMs < this.joiningUntilMs) return;
    this.joiningUntilMs = 0;
    this.onStateChanged();
  }

  private declareOverdue(nowMs: number): void {
    const { suspicionMs, deadRetentionMs } = this.options;
    const { table, self } = this.state;
    for (const member of table.membersSince(types.MemberState.Suspect, suspicionMs, nowMs)) {
      if (member.dataCentre !== self.dataCentre) continue;
      this.state.declare(member, types.MemberState.Dead, nowMs);
    }
    for (const member of table.membersSince(types.MemberState.Dead, deadRetentionMs, nowMs)) {
      table.forget(member.name);
      this.onStateChanged();
    }
  }

  private updateCutOff(nowMs: number): void {
    const cutOff = this.state.cutOffDataCentres(nowMs);
    const hasChanged =
      cutOff.size !== this.cutOff.size || [...cutOff].some((name) => !this.cutOff.has(name));
    if (!hasChanged) return;
    this.logger.warn({ dataCentres: [...cutOff] }, "data centres cut off");
    this.cutOff = cutOff;
    this.onStateChanged();
  }

  private onStateChanged(): void {
    this.view = undefined;
    for (const listener of this.listeners) listener();
  }

  private buildView(): readonly types.VmMember[] {
    const others = this.state.table.members().map((member) => this.asSeen(member));
    return [this.ownView(), ...others];
  }

  private ownView(): types.VmMember {
    const { self } = this.state;
    const isWaiting = this.joiningUntilMs !== 0 || this.isStandingStill();
    if (!isWaiting || self.state !== types.MemberState.Live) return self;
    return { ...self, state: types.MemberState.Suspect };
  }

  private asSeen(member: types.VmMember): types.VmMember {
    const isLive = member.state === types.MemberState.Live;
    if (!isLive || !this.cutOff.has(member.dataCentre)) return member;
    return { ...member, state: types.MemberState.Suspect };
  }

  private async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.stop.signal).catch(() => undefined);
  }
}
