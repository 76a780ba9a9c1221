import * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

/** A claim as a message carries it. */
export function encodeClaim(claim: dispatch.Claim): datagrams.PutClaim {
  return [
    claim.requestId,
    claim.role === dispatch.ClaimRole.Backup,
    claim.serverId,
    Math.round(claim.unreadTokens),
    Math.round(claim.promptTokens),
    Math.round(claim.expectedOutputTokens),
    Math.round(claim.producedTokens),
    claim.hasFirstEvent,
  ];
}

/** The claim in a message of a VM. */
export function decodeClaim(vmName: string, encoded: datagrams.PutClaim): dispatch.Claim {
  const [requestId, isBackup, serverId, unreadTokens, promptTokens, ...rest] = encoded;
  const [expectedOutputTokens, producedTokens, hasFirstEvent] = rest;
  return {
    requestId,
    role: roleOf(isBackup),
    vmName,
    serverId,
    unreadTokens,
    promptTokens,
    expectedOutputTokens,
    producedTokens,
    hasFirstEvent,
  };
}

/** What a claim is for, as a message tells it. */
export function roleOf(isBackup: boolean): dispatch.ClaimRole {
  return isBackup ? dispatch.ClaimRole.Backup : dispatch.ClaimRole.Run;
}
