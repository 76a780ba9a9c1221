import type * as clocks from "../../_lib/clock/index.js";
import * as constants from "../constants.js";
import * as peerEntries from "../_lib/peerEntries/index.js";
import * as estimateRemainingOutputs from "../estimateRemainingOutput/index.js";
import * as types from "../types.js";

const EMPTY_LOAD: types.EngineLoad = {
  committedTokens: 0,
  usedTokens: 0,
  incomingTokens: 0,
  backlogTokens: 0,
  runningCount: 0,
  overdueCount: 0,
};

/**
 * Claims of all VMs on all engines. Every VM holds the whole table, so that it knows what the other
 * VMs have just dispatched before any engine's load report shows it.
 */
export class ClaimTable {
  private readonly claimsByServer = new Map<string, Map<string, types.TimedClaim>>();
  private readonly serverIdByKey = new Map<string, string>();
  private readonly peers = new peerEntries.PeerEntries(constants.MAX_PEER_ENTRIES_COUNT, (key) =>
    this.delete(key),
  );
  private releasedTokens = 0;
  private releaseUpdatedAtMs = 0;

  constructor(private readonly clock: clocks.Clock) {}

  /** The claims that other VMs have made. */
  get peerClaims(): Pick<peerEntries.PeerEntries, "count" | "turnedAwayCount"> {
    return this.peers;
  }

  /** Adds or updates the claim of another VM, unless there are too many. */
  putOfPeer(claim: types.Claim): void {
    if (!this.peers.add(claim.vmName, keyOf(claim.requestId, claim.role))) return;
    const known = this.find(claim.requestId, claim.role);
    if (known !== undefined && known.vmName !== claim.vmName)
      this.delete(keyOf(known.requestId, known.role));
    this.put(claim);
  }

  /** Adds or updates a claim; `sinceMs` of a claim known on the same server is kept. */
  put(claim: types.Claim): void {
    const key = keyOf(claim.requestId, claim.role);
    const previousServerId = this.serverIdByKey.get(key);
    if (previousServerId !== undefined && previousServerId !== claim.serverId) this.unlist(key);
    const claims = this.getOrCreateClaims(claim.serverId);
    const sinceMs = claims.get(key)?.sinceMs ?? this.clock.nowMs();
    claims.set(key, { ...claim, sinceMs, refreshedAtMs: this.clock.nowMs() });
    this.serverIdByKey.set(key, claim.serverId);
  }

  /** Removes a claim and counts its memory as released. */
  release(requestId: string, role: types.ClaimRole): void {
    const removed = this.delete(keyOf(requestId, role));
    if (removed !== undefined) this.recordReleased(removed.promptTokens + removed.producedTokens);
  }

  /** Removes the claims of a VM that is unavailable. */
  dropVm(vmName: string): void {
    for (const claim of this.listByVm(vmName)) this.delete(keyOf(claim.requestId, claim.role));
  }

  /**
   * Removes claims of other VMs that were not refreshed for `maxAgeMs`: their release message was
   * lost.
   */
  dropStale(ownVmName: string, maxAgeMs: number): void {
    const oldestMs = this.clock.nowMs() - maxAgeMs;
    for (const claims of this.claimsByServer.values()) {
      for (const [key, claim] of claims) {
        const isStale = claim.vmName !== ownVmName && claim.refreshedAtMs < oldestMs;
        if (isStale) this.delete(key);
      }
    }
  }

  /** Removes the claims on a server that has departed. */
  dropServer(serverId: string): void {
    for (const key of [...(this.claimsByServer.get(serverId)?.keys() ?? [])]) this.delete(key);
  }

  /** The claims that a VM has made on any engine. */
  listByVm(vmName: string): readonly types.TimedClaim[] {
    return [...this.claimsByServer.values()]
      .flatMap((claims) => [...claims.values()])
      .filter((claim) => claim.vmName === vmName);
  }

  /** The runs' claims of all VMs on some engines, without backups and migrations. */
  listRuns(serverIds: Iterable<string>): readonly types.TimedClaim[] {
    const claims: types.TimedClaim[] = [];
    for (const serverId of serverIds) {
      for (const claim of this.claimsByServer.get(serverId)?.values() ?? [])
        if (claim.role === types.ClaimRole.Run) claims.push(claim);
    }
    return claims;
  }

  /** The claims of all VMs on one engine. */
  listByServer(serverId: string): readonly types.TimedClaim[] {
    return [...(this.claimsByServer.get(serverId)?.values() ?? [])];
  }

  /** Finds the claim of a request in one role. */
  find(requestId: string, role: types.ClaimRole): types.TimedClaim | undefined {
    const key = keyOf(requestId, role);
    const serverId = this.serverIdByKey.get(key);
    return serverId === undefined ? undefined : this.claimsByServer.get(serverId)?.get(key);
  }

  /**
   * Sums the claims on an engine; all values are 0 where there are none.
   *
   * @param slownessRatio - time that the engine takes to read prompts, as a multiple of the typical
   */
  computeLoad(serverId: string, slownessRatio = 1): types.EngineLoad {
    const claims = this.claimsByServer.get(serverId);
    if (claims === undefined || claims.size === 0) return EMPTY_LOAD;
    let committedTokens = 0;
    let usedTokens = 0;
    let incomingTokens = 0;
    let runningCount = 0;
    let overdueCount = 0;
    const overdueSinceMs = this.clock.nowMs() - constants.FIRST_EVENT_OVERDUE_MS;
    for (const claim of claims.values()) {
      committedTokens += computeCommittedTokens(claim);
      usedTokens += claim.promptTokens + claim.producedTokens;
      if (claim.role === types.ClaimRole.Backup) continue;
      if (claim.role === types.ClaimRole.Migration)
        incomingTokens += claim.promptTokens + claim.producedTokens;
      runningCount += 1;
      if (
        claim.role === types.ClaimRole.Run &&
        !claim.hasFirstEvent &&
        claim.sinceMs < overdueSinceMs
      )
        overdueCount += 1;
    }
    const backlogTokens = this.computeBacklogTokens(claims, slownessRatio);
    const memory = { committedTokens, usedTokens, incomingTokens };
    return { ...memory, runningCount, overdueCount, backlogTokens };
  }

  /** Recent rate at which claims of all VMs released memory, in tokens per millisecond. */
  estimateReleaseRate(): number {
    return (this.decayReleasedTokens() * Math.LN2) / constants.RELEASE_RATE_HALF_LIFE_MS;
  }

  /** Prompt tokens left to prefill, less an estimate of those prefilled since the oldest claim. */
  private computeBacklogTokens(
    claims: ReadonlyMap<string, types.TimedClaim>,
    slownessRatio: number,
  ): number {
    let unreadTokens = 0;
    let oldestMs = Infinity;
    for (const claim of claims.values()) {
      if (claim.role !== types.ClaimRole.Run || claim.hasFirstEvent || claim.unreadTokens === 0)
        continue;
      unreadTokens += claim.unreadTokens;
      oldestMs = Math.min(oldestMs, claim.sinceMs);
    }
    if (unreadTokens === 0) return 0;
    const tokensPerMs = constants.PREFILL_TOKENS_PER_MS / slownessRatio;
    const prefilledTokens = (this.clock.nowMs() - oldestMs) * tokensPerMs;
    return Math.max(0, unreadTokens - prefilledTokens);
  }

  private getOrCreateClaims(serverId: string): Map<string, types.TimedClaim> {
    const known = this.claimsByServer.get(serverId);
    if (known !== undefined) return known;
    const created = new Map<string, types.TimedClaim>();
    this.claimsByServer.set(serverId, created);
    return created;
  }

  private delete(key: string): types.TimedClaim | undefined {
    const removed = this.unlist(key);
    if (removed !== undefined) this.peers.delete(removed.vmName, key);
    return removed;
  }

  private unlist(key: string): types.TimedClaim | undefined {
    const serverId = this.serverIdByKey.get(key);
    if (serverId === undefined) return undefined;
    const claims = this.claimsByServer.get(serverId);
    const removed = claims?.get(key);
    claims?.delete(key);
    this.serverIdByKey.delete(key);
    if (claims?.size === 0) this.claimsByServer.delete(serverId);
    return removed;
  }

  private recordReleased(tokens: number): void {
    this.releasedTokens = this.decayReleasedTokens() + tokens;
    this.releaseUpdatedAtMs = this.clock.nowMs();
  }

  private decayReleasedTokens(): number {
    const elapsedMs = this.clock.nowMs() - this.releaseUpdatedAtMs;
    return this.releasedTokens * 2 ** (-elapsedMs / constants.RELEASE_RATE_HALF_LIFE_MS);
  }
}

/** Memory that a claim is expected to use on its engine, in tokens. */
export function computeCommittedTokens(claim: types.Claim): number {
  // A backup is no larger than its run is now, and is removed when the run ends.
  if (claim.role === types.ClaimRole.Backup) return claim.promptTokens + claim.producedTokens;
  const remainingTokens = estimateRemainingOutputs.estimateRemainingOutput(
    claim.expectedOutputTokens,
    claim.producedTokens,
  );
  return (
    claim.promptTokens + claim.producedTokens + constants.REMAINING_OUTPUT_RATIO * remainingTokens
  );
}

function keyOf(requestId: string, role: types.ClaimRole): string {
  return `${role}:${requestId}`;
}
