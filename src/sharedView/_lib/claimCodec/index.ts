import * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

const { ClaimRole } = dispatch;

/** The claim roles; messages refer to a role by its index here. */
const ROLES: readonly dispatch.ClaimRole[] = [ClaimRole.Run, ClaimRole.Backup, ClaimRole.Migration];

/** Encodes a claim for a datagram. */
export function encodeClaim(claim: dispatch.Claim): datagrams.EncodedClaim {
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

/** Decodes a claim from a datagram of the given VM. */
export function decodeClaim(vmName: string, encoded: datagrams.EncodedClaim): dispatch.Claim {
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

/** Encodes a claim's role as its index. */
export function encodeRole(role: dispatch.ClaimRole): number {
  return ROLES.indexOf(role);
}

/** Decodes a claim's role; the datagram schema admits no index without a role. */
export function decodeRole(index: number): dispatch.ClaimRole {
  return ROLES[index] ?? ClaimRole.Run;
}
