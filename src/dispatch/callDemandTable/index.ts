import type * as clocks from "../../_lib/clock/index.js";
import * as movingRates from "../../_lib/movingRate/index.js";
import * as peerEntries from "../_lib/peerEntries/index.js";
import * as computeCallShares from "../computeCallShares/index.js";
import * as constants from "../constants.js";

/** One VM's demand for a service, as VMs tell each other while the service is short of room. */
export interface CallDemandReport extends computeCallShares.CallDemand {
  readonly serviceName: string;
}

interface PeerDemand {
  readonly vmName: string;
  readonly report: CallDemandReport;
  readonly receivedAtMs: number;
}

interface ServiceRates {
  readonly served: movingRates.MovingRate;
  readonly refused: movingRates.MovingRate;
  readonly byAccount: Map<string | null, movingRates.MovingRate>;
}

/** Rates of plain calls by service and account, at this VM and at those that have reported theirs lately. */
export class CallDemandTable {
  private readonly services = new Map<string, ServiceRates>();
  /** Demand at the other VMs, by service and VM, the oldest first. */
  private readonly peerDemands = new Map<string, PeerDemand>();
  private readonly peers = new peerEntries.PeerEntries(constants.MAX_PEER_DEMANDS_COUNT, (key) =>
    this.peerDemands.delete(key),
  );

  constructor(private readonly clock: clocks.Clock) {}

  /** Counts a call that a caller has sent to this VM. */
  recordArrival(serviceName: string, accountName: string | null): void {
    const { byAccount } = this.ratesOf(serviceName);
    const known = byAccount.get(accountName);
    const rate = known ?? this.createRate();
    if (known === undefined) byAccount.set(accountName, rate);
    rate.record();
  }

  /** Counts a call that was served. */
  recordServed(serviceName: string): void {
    this.ratesOf(serviceName).served.record();
  }

  /** Counts a call that no server took. */
  recordRefused(serviceName: string): void {
    this.ratesOf(serviceName).refused.record();
  }

  /** The reports of other VMs that are kept. */
  get peerReports(): Pick<peerEntries.PeerEntries, "count" | "turnedAwayCount"> {
    return this.peers;
  }

  /** Records what another VM has reported, unless there are too many reports. */
  put(vmName: string, report: CallDemandReport): void {
    this.dropOldReports();
    const key = JSON.stringify([report.serviceName, vmName]);
    if (!this.peers.add(vmName, key)) return;
    this.peerDemands.delete(key);
    this.peerDemands.set(key, { vmName, report, receivedAtMs: this.clock.nowMs() });
  }

  /** Calls a second that this VM receives of an account. */
  ownRateOf(serviceName: string, accountName: string | null): number {
    return this.ratesOf(serviceName).byAccount.get(accountName)?.perSecond ?? 0;
  }

  /** This VM's own demand: the accounts that send most, and the sum of the others. */
  createReport(serviceName: string): CallDemandReport {
    const { served, refused, byAccount } = this.ratesOf(serviceName);
    for (const [name, { perSecond }] of byAccount)
      if (perSecond < constants.MIN_CALL_RATE_PER_SECOND) byAccount.delete(name);
    const rates = [...byAccount].map(([name, { perSecond }]) => [name, perSecond] as const);
    rates.sort(([, left], [, right]) => right - left);
    const others = rates.splice(constants.MAX_REPORTED_ACCOUNTS_COUNT);
    return {
      serviceName,
      servedPerSecond: served.perSecond,
      refusedPerSecond: refused.perSecond,
      otherPerSecond: others.reduce((sum, [, perSecond]) => sum + perSecond, 0),
      byAccount: new Map(rates),
    };
  }

  /** Demand at all VMs from which there is a recent report, and at this one. */
  computeTotal(serviceName: string): computeCallShares.CallDemand {
    this.dropOldReports();
    const reports = [...this.peerDemands.values()]
      .map(({ report }) => report)
      .filter((report) => report.serviceName === serviceName);
    return computeCallShares.sumCallDemands([this.createReport(serviceName), ...reports]);
  }

  private dropOldReports(): void {
    const oldestMs = this.clock.nowMs() - constants.CALL_DEMAND_RETENTION_MS;
    for (const [key, { vmName, receivedAtMs }] of this.peerDemands) {
      if (receivedAtMs >= oldestMs) return;
      this.peerDemands.delete(key);
      this.peers.delete(vmName, key);
    }
  }

  private ratesOf(serviceName: string): ServiceRates {
    const known = this.services.get(serviceName);
    if (known !== undefined) return known;
    const created: ServiceRates = {
      served: this.createRate(),
      refused: new movingRates.MovingRate(this.clock, constants.REFUSED_RATE_WINDOW_MS),
      byAccount: new Map(),
    };
    this.services.set(serviceName, created);
    return created;
  }

  private createRate(): movingRates.MovingRate {
    return new movingRates.MovingRate(this.clock, constants.CALL_RATE_WINDOW_MS);
  }
}
