import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as catalogue from "../../catalogue/types.js";
import * as fleet from "../../fleet/index.js";
import type * as peers from "../../peers/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as accountUsage from "../_lib/accountUsage/index.js";
import * as demandCodec from "../_lib/demandCodec/index.js";
import type * as shareLedger from "../_lib/shareLedger/index.js";
import * as shareGranter from "../_lib/shareGranter/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const { TOKENS } = tokens;

/**
 * Limits per client account across VMs. Each VM admits within its share, without asking anyone;
 * the account's home divides the limits by demand. A VM that cannot reach the home keeps its
 * last share; one that never had any takes an even part.
 */
@tsyringe.injectable()
export class AccountLimits implements types.AccountLimiter, AsyncDisposable {
  private readonly usages = new Map<string, accountUsage.AccountUsage>();
  private readonly granter: shareGranter.ShareGranter;
  private readonly resources = new disposableStore.DisposableStore();
  private readonly stop = new AbortController();
  private sequence: number;
  /** Whether the members have changed since the homes of all accounts were last looked at. */
  private haveHomesMoved = false;

  constructor(
    @tsyringe.inject(TOKENS.accountLimitOptions)
    private readonly options: types.AccountLimitOptions,
    @tsyringe.inject(TOKENS.peerNetwork) private readonly peerNetwork: peers.PeerNetwork,
    @tsyringe.inject(TOKENS.fleetView) private readonly fleetView: fleet.FleetView,
    @tsyringe.inject(TOKENS.catalogueView) catalogueView: catalogue.CatalogueView,
    @tsyringe.inject(TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(TOKENS.metrics) private readonly metrics: telemetry.Metrics,
  ) {
    this.granter = new shareGranter.ShareGranter(fleetView, catalogueView, clock, options);
    // A restarted VM goes on above the numbers of its earlier process.
    this.sequence = Math.floor(clock.wallTimeMs());
    this.resources.add(
      peerNetwork.register(constants.DEMAND_METHOD, (params, fromVm) =>
        this.onDemands(params, fromVm),
      ),
    );
    this.resources.add(fleetView.onChange(() => this.onMembers()));
  }

  /** Starts the task that keeps the shares of active accounts up to date. */
  start(): void {
    const task = this.run();
    this.resources.defer(async () => {
      this.stop.abort();
      await task;
    });
  }

  /** Waits until this VM has a share of the account, for a short time at most. */
  async prepare(account: catalogue.ClientAccount): Promise<void> {
    const usage = this.usageOf(account.name);
    const deadlineAtMs = this.clock.nowMs() + this.options.maxPrepareMs;
    while (!usage.hasUsableShare() && this.clock.nowMs() < deadlineAtMs) {
      await this.refresh([account.name]);
      this.fallBackIfParted(account, usage);
      if (!usage.hasUsableShare()) await this.sleep(constants.MIN_RETRY_AFTER_MS);
    }
  }

  admit(
    account: catalogue.ClientAccount,
  ): neverthrow.Result<types.AccountPermit, stepError.StepError> {
    const usage = this.usageOf(account.name);
    this.fallBackIfParted(account, usage);
    const refusal = usage.tryStart(account, this.clock.nowMs());
    if (!usage.hasShare()) void this.refresh([account.name]);
    if (refusal === undefined) return neverthrow.ok(this.permitFor(usage));
    this.metrics.increment("accounts.refused");
    return neverthrow.err(
      new stepError.StepError(`${account.name}: ${refusal.reason}`, {
        code: stepError.ErrorCode.LimitExceeded,
        step: "accounts.admit",
        execution: stepError.ExecutionState.NotRun,
        retryAfterMs: refusal.retryAfterMs,
      }),
    );
  }

  /** What this VM may be using of an account now. */
  heldShare(accountName: string): types.AccountShare | undefined {
    return this.usages.get(accountName)?.held();
  }

  /** Accounts that cost this VM anything: as one of their VMs, and as their home. */
  activeCounts(): { readonly usedCount: number; readonly homeCount: number } {
    return { usedCount: this.usages.size, homeCount: this.granter.accountsCount };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private fallBackIfParted(
    account: catalogue.ClientAccount,
    usage: accountUsage.AccountUsage,
  ): void {
    if (usage.hasShare() || !usage.isHomeUnreachable) return;
    usage.takeFallback(account, this.granter.knownVms().size, this.clock.nowMs());
  }

  private onMembers(): void {
    this.granter.onMembers();
    this.haveHomesMoved = true;
  }

  private permitFor(usage: accountUsage.AccountUsage): types.AccountPermit {
    let isEnded = false;
    return {
      spendTokens: (count) => usage.spendTokens(count, this.clock.nowMs()),
      [Symbol.dispose]: () => {
        if (isEnded) return;
        isEnded = true;
        usage.end(this.clock.nowMs());
      },
    };
  }

  private async run(): Promise<void> {
    while (!this.stop.signal.aborted) {
      await this.sleep(this.options.refreshMs);
      this.granter.tidy();
      this.dropIdle();
      void this.refresh(this.dueAccounts());
    }
  }

  private dropIdle(): void {
    const nowMs = this.clock.nowMs();
    for (const [name, usage] of this.usages) {
      if (usage.isIdle(this.options.idleMs, nowMs) && !usage.isRefreshing) this.usages.delete(name);
    }
  }

  /** A new home grants nothing more before it has heard all holders, so it is told at once. */
  private dueAccounts(): readonly string[] {
    const steadyBeforeMs = this.clock.nowMs() - this.options.steadyRefreshMs;
    const haveHomesMoved = this.haveHomesMoved;
    this.haveHomesMoved = false;
    return [...this.usages]
      .filter(([name, usage]) => {
        if (usage.isShareScarce() || usage.refreshedAtMs <= steadyBeforeMs) return true;
        return haveHomesMoved && usage.refreshedFrom !== this.homeOf(name);
      })
      .map(([name]) => name);
  }

  private homeOf(accountName: string): string {
    return shareGranter.homeOfAccount(accountName, this.fleetView)?.name ?? "";
  }

  /** Asks the homes of the accounts for this VM's shares, with one message a home. */
  private async refresh(accountNames: readonly string[]): Promise<void> {
    const byHome = new Map<string, string[]>();
    for (const name of accountNames) {
      const home = this.homeOf(name);
      const group = byHome.get(home) ?? [];
      group.push(name);
      byHome.set(home, group);
    }
    await Promise.all([...byHome].map(([home, names]) => this.refreshFrom(home, names)));
  }

  private async refreshFrom(home: string, accountNames: readonly string[]): Promise<void> {
    const free = accountNames
      .filter((name) => this.usages.get(name)?.isRefreshing === false)
      .slice(0, constants.MAX_DEMANDS_PER_MESSAGE);
    if (free.length === 0) return;
    this.sequence += 1;
    const demands = new Map(free.map((name) => [name, this.demandOf(name)]));
    const shares = await this.ask(home, this.sequence, demands);
    for (const name of free) this.onAnswer(name, home, shares);
  }

  private demandOf(accountName: string): shareLedger.Demand {
    const usage = this.usageOf(accountName);
    usage.isRefreshing = true;
    const wanted = usage.sampleDemand(this.clock.nowMs());
    return { wanted, held: usage.held(), sequence: this.sequence };
  }

  private async ask(
    home: string,
    sequence: number,
    demands: demandCodec.DemandMessage,
  ): Promise<demandCodec.ShareMessage | undefined> {
    const self = this.fleetView.self.name;
    if (home === self) return this.grantAll(demands, self);
    if (home === "") return undefined;
    const params = demandCodec.encodeDemands(sequence, demands);
    const timeout = { timeoutMs: this.options.callTimeoutMs };
    const answer = await this.peerNetwork.call(home, constants.DEMAND_METHOD, params, timeout);
    return answer.isOk() ? demandCodec.decodeShares(answer.value) : undefined;
  }

  private onAnswer(
    accountName: string,
    home: string,
    shares: demandCodec.ShareMessage | undefined,
  ): void {
    const usage = this.usageOf(accountName);
    const nowMs = this.clock.nowMs();
    const share = shares?.get(accountName);
    usage.isRefreshing = false;
    usage.isHomeUnreachable = shares === undefined;
    if (share !== undefined) {
      usage.isFallback = false;
      usage.setShare(share, nowMs);
      usage.onRefreshed(home, nowMs);
    } else if (shares === undefined) {
      this.metrics.increment("accounts.home_unreachable");
    }
  }

  private onDemands(params: unknown, fromVm: string): unknown {
    const demands = demandCodec.decodeDemands(params);
    if (demands !== undefined) return demandCodec.encodeShares(this.grantAll(demands, fromVm));
    throw new stepError.StepError("malformed demands", {
      code: stepError.ErrorCode.InvalidRequest,
      step: "accounts.grant",
      peer: fromVm,
      execution: stepError.ExecutionState.NotRun,
    });
  }

  private grantAll(demands: demandCodec.DemandMessage, vmName: string): demandCodec.ShareMessage {
    const shares = new Map<string, types.AccountShare>();
    for (const [accountName, demand] of demands) {
      const share = this.granter.grant(accountName, vmName, demand);
      if (share !== undefined) shares.set(accountName, share);
    }
    return shares;
  }

  private usageOf(accountName: string): accountUsage.AccountUsage {
    const known = this.usages.get(accountName);
    if (known !== undefined) return known;
    const usage = new accountUsage.AccountUsage(this.clock.nowMs());
    this.usages.set(accountName, usage);
    return usage;
  }

  private async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.stop.signal).catch(() => undefined);
  }
}
