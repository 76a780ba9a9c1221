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

/** Decodes a waiting generation from a datagram of the given VM. */
export function decodeWaiting(
  vmName: string,
  encoded: datagrams.EncodedWaiting,
): dispatch.FleetWaiting {
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
