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

/** Encodes whose work claims are; absent if it is not known of any of them. */
export function encodeOrigins(
  claims: readonly dispatch.Claim[],
): Pick<datagrams.Claims, "origins"> {
  if (claims.every(({ origin }) => origin === undefined)) return {};
  const accounts = claims.map(({ origin }) => origin?.accountName ?? null);
  return {
    origins: { accounts, priorities: claims.map(({ origin }) => origin?.priority ?? null) },
  };
}

/** Decodes the claims of a datagram. */
export function decodeClaims({
  vmName,
  put,
  origins,
}: datagrams.Claims): readonly dispatch.Claim[] {
  return put.map((encoded, index) => {
    const claim = decodeClaim(vmName, encoded);
    const priority = origins?.priorities[index] ?? null;
    if (priority === null) return claim;
    return { ...claim, origin: { accountName: origins?.accounts[index] ?? null, priority } };
  });
}

function decodeClaim(vmName: string, encoded: datagrams.EncodedClaim): dispatch.Claim {
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
