import type * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

/** Encodes a waiting generation for a datagram. */
export function encodeWaiting(waiting: dispatch.FleetWaiting): datagrams.EncodedWaiting {
  return [
    waiting.requestId,
    waiting.serviceName,
    waiting.need.dataCentre,
    waiting.priority,
    Math.round(waiting.enqueuedAtWallMs),
    Math.round(waiting.objectiveAtWallMs),
    Math.round(waiting.need.unreadTokens),
    Math.round(waiting.need.promptTokens),
    Math.round(waiting.need.expectedOutputTokens),
    Math.round(waiting.need.producedTokens),
  ];
}

/** Encodes the accounts of waiting generations; absent if one of them is not known. */
export function encodeAccounts(
  waiting: readonly dispatch.FleetWaiting[],
): Pick<datagrams.Waiting, "accounts"> {
  const accounts = waiting.flatMap(({ accountName }) =>
    accountName === undefined ? [] : [accountName],
  );
  return waiting.length > 0 && accounts.length === waiting.length ? { accounts } : {};
}

/** Decodes the waiting generations of a datagram. */
export function decodeAllWaiting({
  vmName,
  put,
  accounts,
}: datagrams.Waiting): readonly dispatch.FleetWaiting[] {
  return put.map((encoded, index) => {
    const waiting = decodeWaiting(vmName, encoded);
    const accountName = accounts?.[index];
    return accountName === undefined ? waiting : { ...waiting, accountName };
  });
}

function decodeWaiting(vmName: string, encoded: datagrams.EncodedWaiting): dispatch.FleetWaiting {
  const [requestId, serviceName, dataCentre, priority, ...rest] = encoded;
  const [enqueuedAtWallMs, objectiveAtWallMs, ...tokens] = rest;
  const [unreadTokens, promptTokens, expectedOutputTokens, producedTokens] = tokens;
  return {
    requestId,
    vmName,
    serviceName,
    priority,
    need: { unreadTokens, promptTokens, expectedOutputTokens, producedTokens, dataCentre },
    enqueuedAtWallMs,
    objectiveAtWallMs,
    // Not in the message: only the VM at which the generation waits knows the servers to exclude.
    avoidedIds: new Set(),
  };
}
