import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as estimateOutput from "../estimateOutput/index.js";
import * as types from "../types.js";

const NO_LOAD: types.EngineLoad = {
  committedTokens: 0,
  usedTokens: 0,
  backlogTokens: 0,
  runningCount: 0,
  overdueCount: 0,
};

/**
 * Claims of all VMs on all engines. Every VM holds the whole table, so that each sees at once
 * what the others have just sent, which no engine's load report shows yet.
 */
export class ClaimTable {
  private readonly byServer = new Map<string, Map<string, types.TimedClaim>>();
  private readonly serverOf = new Map<string, string>();
  private releasedTokens = 0;
  private releaseUpdatedMs = 0;

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a claim or changes it; the time since when it is known stays as it was. */
  put(claim: types.Claim): void {
    const key = keyOf(claim.requestId, claim.role);
    const previousServerId = this.serverOf.get(key);
    if (previousServerId !== undefined && previousServerId !== claim.serverId) this.delete(key);
    const claims = this.claimsOf(claim.serverId);
    const sinceMs = claims.get(key)?.sinceMs ?? this.clock.nowMs();
    claims.set(key, { ...claim, sinceMs, refreshedAtMs: this.clock.nowMs() });
    this.serverOf.set(key, claim.serverId);
  }

  /** Gives a claim back. */
  release(requestId: string, role: types.ClaimRole): void {
    const removed = this.delete(keyOf(requestId, role));
    if (removed !== undefined) this.noteReleased(removed.promptTokens + removed.producedTokens);
  }

  /** Drops the claims of a VM that is gone. */
  dropVm(vmName: string): void {
    for (const claim of this.ofVm(vmName)) this.delete(keyOf(claim.requestId, claim.role));
  }

  /** Drops claims of other VMs that were not put again for a while: their release got lost. */
  dropStale(ownVmName: string, maxAgeMs: number): void {
    const oldestMs = this.clock.nowMs() - maxAgeMs;
    for (const claims of this.byServer.values()) {
      for (const [key, claim] of claims) {
        const isStale = claim.vmName !== ownVmName && claim.refreshedAtMs < oldestMs;
        if (isStale) this.delete(key);
      }
    }
  }

  /** Drops the claims on a server that is gone. */
  dropServer(serverId: string): void {
    for (const key of this.byServer.get(serverId)?.keys() ?? []) this.serverOf.delete(key);
    this.byServer.delete(serverId);
  }

  ofVm(vmName: string): readonly types.TimedClaim[] {
    return [...this.byServer.values()]
      .flatMap((claims) => [...claims.values()])
      .filter((claim) => claim.vmName === vmName);
  }

  ofServer(serverId: string): readonly types.TimedClaim[] {
    return [...(this.byServer.get(serverId)?.values() ?? [])];
  }

  find(requestId: string, role: types.ClaimRole): types.TimedClaim | undefined {
    const key = keyOf(requestId, role);
    const serverId = this.serverOf.get(key);
    return serverId === undefined ? undefined : this.byServer.get(serverId)?.get(key);
  }

  /** What the claims on an engine add up to now. */
  loadOf(serverId: string): types.EngineLoad {
    const claims = this.byServer.get(serverId);
    if (claims === undefined || claims.size === 0) return NO_LOAD;
    let committedTokens = 0;
    let usedTokens = 0;
    let runningCount = 0;
    let overdueCount = 0;
    const overdueSinceMs = this.clock.nowMs() - constants.OVERDUE_MS;
    for (const claim of claims.values()) {
      committedTokens += committedBy(claim);
      usedTokens += claim.promptTokens + claim.producedTokens;
      if (claim.role === types.ClaimRole.Backup) continue;
      runningCount += 1;
      if (
        claim.role === types.ClaimRole.Run &&
        !claim.hasFirstEvent &&
        claim.sinceMs < overdueSinceMs
      )
        overdueCount += 1;
    }
    const backlogTokens = this.backlogOf(claims);
    return { committedTokens, usedTokens, runningCount, overdueCount, backlogTokens };
  }

  /** Memory given back lately by the runs of all VMs, in tokens a millisecond. */
  releaseRate(): number {
    return (this.decayedRelease() * Math.LN2) / constants.RELEASE_RATE_HALF_LIFE_MS;
  }

  /** Unread prompts, less what the engine has read since the oldest of them came. */
  private backlogOf(claims: ReadonlyMap<string, types.TimedClaim>): number {
    let unreadTokens = 0;
    let oldestMs = Infinity;
    for (const claim of claims.values()) {
      if (claim.role !== types.ClaimRole.Run || claim.hasFirstEvent || claim.unreadTokens === 0)
        continue;
      unreadTokens += claim.unreadTokens;
      oldestMs = Math.min(oldestMs, claim.sinceMs);
    }
    if (unreadTokens === 0) return 0;
    const readTokens = (this.clock.nowMs() - oldestMs) * constants.READ_TOKENS_PER_MS;
    return Math.max(0, unreadTokens - readTokens);
  }

  private claimsOf(serverId: string): Map<string, types.TimedClaim> {
    const known = this.byServer.get(serverId);
    if (known !== undefined) return known;
    const created = new Map<string, types.TimedClaim>();
    this.byServer.set(serverId, created);
    return created;
  }

  private delete(key: string): types.TimedClaim | undefined {
    const serverId = this.serverOf.get(key);
    if (serverId === undefined) return undefined;
    const claims = this.byServer.get(serverId);
    const removed = claims?.get(key);
    claims?.delete(key);
    this.serverOf.delete(key);
    if (claims?.size === 0) this.byServer.delete(serverId);
    return removed;
  }

  private noteReleased(tokens: number): void {
    this.releasedTokens = this.decayedRelease() + tokens;
    this.releaseUpdatedMs = this.clock.nowMs();
  }

  private decayedRelease(): number {
    const elapsedMs = this.clock.nowMs() - this.releaseUpdatedMs;
    return this.releasedTokens * 2 ** (-elapsedMs / constants.RELEASE_RATE_HALF_LIFE_MS);
  }
}

/** Memory that a claim is expected to take at its engine, in tokens. */
export function committedBy(claim: types.Claim): number {
  // A copy is no larger than its run is now, and lapses with it.
  if (claim.role === types.ClaimRole.Backup) return claim.promptTokens + claim.producedTokens;
  const restTokens = estimateOutput.estimateRest(claim.expectedOutputTokens, claim.producedTokens);
  return claim.promptTokens + claim.producedTokens + constants.EXPECTED_REST_RATIO * restTokens;
}

function keyOf(requestId: string, role: types.ClaimRole): string {
  return `${role}:${requestId}`;
}
