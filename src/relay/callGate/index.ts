import type * as clocks from "../../_lib/clock/index.js";
import type * as randoms from "../../_lib/random/index.js";
import * as tokenBuckets from "../../_lib/tokenBucket/index.js";
import * as dispatch from "../../dispatch/index.js";
import * as constants from "../constants.js";

const ONE_CALL = 1;
const MS_PER_SECOND = 1_000;

/** Dependencies of the gate. */
export interface CallGateContext {
  readonly clock: clocks.Clock;
  readonly random: randoms.RandomSource;
  /** Tells the other VMs this VM's demand. */
  readonly announce: (report: dispatch.CallDemandReport) => void;
}

/** Why a call is turned away: its account sends more than its share of what the service takes. */
export interface CallGateRefusal extends dispatch.CallShare {
  /** This VM's part of the account's share. */
  readonly ownSharePerSecond: number;
  readonly servedPerSecond: number;
  readonly retryAfterMs: number;
}

interface ServiceState {
  /** When VMs last turned away a notable part of the calls; -Infinity before. */
  shortAtMs: number;
  announcedAtMs: number;
  computedAtMs: number;
  servedPerSecond: number;
  shares: ReadonlyMap<string | null, dispatch.CallShare>;
  readonly buckets: Map<string | null, tokenBuckets.TokenBucket>;
}

/**
 * Lets plain calls through while servers turn calls away: each account may send its max-min share of what
 * the service serves, divided among the VMs in proportion to what they receive of it. Calls beyond that are
 * turned away before any server is asked. Without refusals, or with one account, all calls pass.
 *
 * A VM that hears nothing of the others divides what it serves itself.
 */
export class CallGate {
  private readonly demands: dispatch.CallDemandTable;
  private readonly services = new Map<string, ServiceState>();

  constructor(private readonly context: CallGateContext) {
    this.demands = new dispatch.CallDemandTable(context.clock);
  }

  /** Counts a call of an account; returns why it is turned away, or null if it passes. */
  admit(serviceName: string, accountName: string | null): CallGateRefusal | null {
    const { clock } = this.context;
    this.demands.recordArrival(serviceName, accountName);
    const state = this.updateState(serviceName);
    const share = state.shares.get(accountName);
    if (share === undefined) return null;
    const nowMs = clock.nowMs();
    const ownRate = this.demands.ownRateOf(serviceName, accountName);
    const ownSharePerSecond = (share.sharePerSecond * ownRate) / share.demandPerSecond;
    const bucket = this.bucketOf(state, accountName);
    bucket.setRate(ownSharePerSecond, nowMs);
    if (bucket.hasCredit(ONE_CALL, nowMs)) {
      bucket.spend(ONE_CALL, nowMs);
      return null;
    }
    const { servedPerSecond } = state;
    return {
      ...share,
      ownSharePerSecond,
      servedPerSecond,
      retryAfterMs: this.computeRetryAfterMs(share),
    };
  }

  /** Counts a call that was served. */
  recordServed(serviceName: string): void {
    this.demands.recordServed(serviceName);
  }

  /** Counts a call that passed, and that no server took. */
  recordRefused(serviceName: string): void {
    this.demands.recordRefused(serviceName);
  }

  /** Records what another VM reports. */
  recordPeerDemand(vmName: string, report: dispatch.CallDemandReport): void {
    this.demands.put(vmName, report);
  }

  /** Number of reports of other VMs that were not kept, as there were too many. */
  get turnedAwayReportsCount(): number {
    return this.demands.peerReports.turnedAwayCount;
  }

  /** The accounts beyond their shares, by service. */
  get sharesByService(): ReadonlyMap<string, ReadonlyMap<string | null, dispatch.CallShare>> {
    const oldestMs = this.context.clock.nowMs() - constants.CALL_SHARES_RETENTION_MS;
    return new Map(
      [...this.services]
        .filter(([, { computedAtMs }]) => computedAtMs >= oldestMs)
        .map(([name, { shares }]) => [name, shares]),
    );
  }

  private updateState(serviceName: string): ServiceState {
    const nowMs = this.context.clock.nowMs();
    const state = this.stateOf(serviceName);
    if (nowMs - state.computedAtMs < constants.CALL_SHARES_INTERVAL_MS) return state;
    state.computedAtMs = nowMs;
    const total = this.demands.computeTotal(serviceName);
    const { servedPerSecond, refusedPerSecond } = total;
    state.servedPerSecond = servedPerSecond;
    if (refusedPerSecond > constants.SHORT_REFUSED_RATIO * servedPerSecond) state.shortAtMs = nowMs;
    const isShort = nowMs - state.shortAtMs < constants.SHORT_RETENTION_MS;
    if (isShort) this.announceIfDue(serviceName, state);
    else state.buckets.clear();
    // So little is served that servers are missing rather than full.
    const isDivisible = isShort && servedPerSecond >= constants.MIN_DIVIDED_CALLS_PER_SECOND;
    const calmSeconds = (nowMs - state.shortAtMs) / MS_PER_SECOND;
    const growth = constants.TAKEN_GROWTH_PER_SQUARE_SECOND * calmSeconds ** 2;
    state.shares = isDivisible
      ? dispatch.computeCallShares(
          total,
          servedPerSecond * (1 - constants.SHORT_MARGIN_RATIO + growth),
        )
      : new Map();
    return state;
  }

  private announceIfDue(serviceName: string, state: ServiceState): void {
    const nowMs = this.context.clock.nowMs();
    if (nowMs - state.announcedAtMs < constants.CALL_DEMAND_INTERVAL_MS) return;
    state.announcedAtMs = nowMs;
    this.context.announce(this.demands.createReport(serviceName));
  }

  /** Spreads the returns of an account's calls over the time in which its share takes all of them. */
  private computeRetryAfterMs({ sharePerSecond, demandPerSecond }: dispatch.CallShare): number {
    const excessMs = (MS_PER_SECOND * demandPerSecond) / Math.max(sharePerSecond, ONE_CALL);
    return dispatch.computeRetryAfterMs(excessMs, this.context.random);
  }

  private bucketOf(state: ServiceState, accountName: string | null): tokenBuckets.TokenBucket {
    const known = state.buckets.get(accountName);
    if (known !== undefined) return known;
    const created = new tokenBuckets.TokenBucket(
      ONE_CALL,
      this.context.clock.nowMs(),
      constants.CALL_BURST_SECONDS,
    );
    state.buckets.set(accountName, created);
    return created;
  }

  private stateOf(serviceName: string): ServiceState {
    const known = this.services.get(serviceName);
    if (known !== undefined) return known;
    const created: ServiceState = {
      shortAtMs: -Infinity,
      announcedAtMs: -Infinity,
      computedAtMs: -Infinity,
      servedPerSecond: 0,
      shares: new Map(),
      buckets: new Map(),
    };
    this.services.set(serviceName, created);
    return created;
  }
}
