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
 * Enforces the limits of client accounts across VMs. Each VM admits requests within its share
 * without a message to others; the account's home divides the limits among the VMs by demand. A
 * VM that cannot reach the home keeps its last share, or uses an even part of the limits if it
 * never had a share.
 */
@tsyringe.injectable()
export class AccountLimits implements types.AccountLimiter, AsyncDisposable {
  private readonly usages = new Map<string, accountUsage.AccountUsage>();
  private readonly granter: shareGranter.ShareGranter;
  private readonly resources = new disposableStore.DisposableStore();
  private readonly stopping = new AbortController();
  private sequence: number;
  /** Whether members have changed since the accounts were last checked for a new home. */
  private hasMembershipChanged = false;

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
    // Wall time, so that a restarted VM continues above the sequence numbers of its last process.
    this.sequence = Math.floor(clock.wallTimeMs());
    this.resources.add(
      peerNetwork.register(constants.DEMAND_METHOD, (params, fromVm) =>
        this.handleDemands(params, fromVm),
      ),
    );
    this.resources.add(fleetView.onChange(() => this.onMembersChanged()));
  }

  /** Starts the task that refreshes the shares of active accounts. */
  start(): void {
    const task = this.refreshPeriodically();
    this.resources.defer(async () => {
      this.stopping.abort();
      await task;
    });
  }

  /** Waits until this VM has a usable share of the account, or `maxShareWaitMs` have passed. */
  async waitForShare(account: catalogue.ClientAccount): Promise<void> {
    const usage = this.getOrCreateUsage(account.name);
    const deadlineAtMs = this.clock.nowMs() + this.options.maxShareWaitMs;
    while (!usage.hasUsableShare() && this.clock.nowMs() < deadlineAtMs) {
      await this.refresh([account.name]);
      this.applyFallbackIfHomeUnreachable(account, usage);
      if (!usage.hasUsableShare()) await this.sleep(constants.MIN_RETRY_AFTER_MS);
    }
  }

  /** Admits a request within this VM's share, or refuses it with a retry delay. */
  admit(
    account: catalogue.ClientAccount,
  ): neverthrow.Result<types.AccountPermit, stepError.StepError> {
    const usage = this.getOrCreateUsage(account.name);
    this.applyFallbackIfHomeUnreachable(account, usage);
    const refusal = usage.tryStartRequest(account, this.clock.nowMs());
    if (!usage.hasShare()) void this.refresh([account.name]);
    if (refusal === undefined) return neverthrow.ok(this.createPermit(usage));
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

  /** Returns what this VM may be using of an account now; undefined for an idle account. */
  heldShare(accountName: string): types.AccountShare | undefined {
    return this.usages.get(accountName)?.heldShare();
  }

  /** Numbers of accounts in use at this VM, and of those whose ledger it holds as their home. */
  activeCounts(): { readonly usedCount: number; readonly homeCount: number } {
    return { usedCount: this.usages.size, homeCount: this.granter.accountsCount };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.resources[Symbol.asyncDispose]();
  }

  private applyFallbackIfHomeUnreachable(
    account: catalogue.ClientAccount,
    usage: accountUsage.AccountUsage,
  ): void {
    if (usage.hasShare() || !usage.isHomeUnreachable) return;
    usage.applyFallbackShare(account, this.granter.listKnownVms().size, this.clock.nowMs());
  }

  private onMembersChanged(): void {
    this.granter.updateMembers();
    this.hasMembershipChanged = true;
  }

  private createPermit(usage: accountUsage.AccountUsage): types.AccountPermit {
    let isEnded = false;
    return {
      spendTokens: (count) => usage.spendTokens(count, this.clock.nowMs()),
      [Symbol.dispose]: () => {
        if (isEnded) return;
        isEnded = true;
        usage.endRequest(this.clock.nowMs());
      },
    };
  }

  private async refreshPeriodically(): Promise<void> {
    while (!this.stopping.signal.aborted) {
      await this.sleep(this.options.refreshMs);
      this.granter.removeExpired();
      this.removeIdleUsages();
      void this.refresh(this.listAccountsToRefresh());
    }
  }

  private removeIdleUsages(): void {
    const nowMs = this.clock.nowMs();
    for (const [name, usage] of this.usages) {
      if (usage.isIdle(this.options.idleMs, nowMs) && !usage.isRefreshing) this.usages.delete(name);
    }
  }

  /**
   * Returns the accounts whose share is due for a refresh. A new home is sent the demand without
   * waiting for the interval, because it raises no shares until all VMs have reported theirs.
   */
  private listAccountsToRefresh(): readonly string[] {
    const dueBeforeMs = this.clock.nowMs() - this.options.ampleShareRefreshMs;
    const hasMembershipChanged = this.hasMembershipChanged;
    this.hasMembershipChanged = false;
    return [...this.usages]
      .filter(([name, usage]) => {
        if (usage.isShareScarce() || usage.refreshedAtMs <= dueBeforeMs) return true;
        return hasMembershipChanged && usage.refreshedFromVm !== this.selectHomeName(name);
      })
      .map(([name]) => name);
  }

  private selectHomeName(accountName: string): string {
    return shareGranter.selectAccountHome(accountName, this.fleetView)?.name ?? "";
  }

  /** Requests this VM's shares from the homes of the accounts, with one message per home. */
  private async refresh(accountNames: readonly string[]): Promise<void> {
    const byHome = new Map<string, string[]>();
    for (const name of accountNames) {
      const home = this.selectHomeName(name);
      const group = byHome.get(home) ?? [];
      group.push(name);
      byHome.set(home, group);
    }
    await Promise.all([...byHome].map(([home, names]) => this.refreshFrom(home, names)));
  }

  private async refreshFrom(home: string, accountNames: readonly string[]): Promise<void> {
    const namesToRefresh = accountNames
      .filter((name) => this.usages.get(name)?.isRefreshing === false)
      .slice(0, constants.MAX_DEMANDS_PER_MESSAGE);
    if (namesToRefresh.length === 0) return;
    this.sequence += 1;
    const demands = new Map(namesToRefresh.map((name) => [name, this.startRefresh(name)]));
    const shares = await this.requestShares(home, this.sequence, demands);
    for (const name of namesToRefresh) this.applyShares(name, home, shares);
  }

  /** Marks a refresh of the account as in flight, and returns the demand to send. */
  private startRefresh(accountName: string): shareLedger.Demand {
    const usage = this.getOrCreateUsage(accountName);
    usage.isRefreshing = true;
    const wanted = usage.sampleDemand(this.clock.nowMs());
    return { wanted, held: usage.heldShare(), sequence: this.sequence };
  }

  private async requestShares(
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

  private applyShares(
    accountName: string,
    home: string,
    shares: demandCodec.ShareMessage | undefined,
  ): void {
    const usage = this.getOrCreateUsage(accountName);
    const nowMs = this.clock.nowMs();
    const share = shares?.get(accountName);
    usage.isRefreshing = false;
    usage.isHomeUnreachable = shares === undefined;
    if (share !== undefined) {
      usage.isFallback = false;
      usage.setShare(share, nowMs);
      usage.recordRefresh(home, nowMs);
    } else if (shares === undefined) {
      this.metrics.increment("accounts.home_unreachable");
    }
  }

  private handleDemands(params: unknown, fromVm: string): unknown {
    const demands = demandCodec.decodeDemands(params);
    if (demands !== undefined) return demandCodec.encodeShares(this.grantAll(demands, fromVm));
    throw new stepError.StepError(`malformed demands from VM ${fromVm}`, {
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

  private getOrCreateUsage(accountName: string): accountUsage.AccountUsage {
    const known = this.usages.get(accountName);
    if (known !== undefined) return known;
    const usage = new accountUsage.AccountUsage(this.clock.nowMs());
    this.usages.set(accountName, usage);
    return usage;
  }

  private async sleep(durationMs: number): Promise<void> {
    await this.clock.sleep(durationMs, this.stopping.signal).catch(() => undefined);
  }
}
