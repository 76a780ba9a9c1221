import * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

const { ClaimRole } = dispatch;

/** The roles as messages number them. */
const ROLES: readonly dispatch.ClaimRole[] = [ClaimRole.Run, ClaimRole.Backup, ClaimRole.Move];

/** A claim as a message carries it. */
export function encodeClaim(claim: dispatch.Claim): datagrams.PutClaim {
  return [
    claim.requestId,
    encodeRole(claim.role),
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
  const [requestId, role, serverId, unreadTokens, promptTokens, ...rest] = encoded;
  const [expectedOutputTokens, producedTokens, hasFirstEvent] = rest;
  return {
    requestId,
    role: decodeRole(role),
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
export function encodeRole(role: dispatch.ClaimRole): number {
  return ROLES.indexOf(role);
}

/** What a claim is for; messages hold no other numbers. */
export function decodeRole(index: number): dispatch.ClaimRole {
  return ROLES[index] ?? ClaimRole.Run;
}
