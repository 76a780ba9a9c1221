import type * as dispatch from "../../../dispatch/index.js";
import type * as datagrams from "../datagrams/index.js";

/** A waiting generation as a message carries it. */
export function encodeWaiting(waiting: dispatch.FleetWaiting): datagrams.PutWaiting {
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

/** The waiting generation in a message of a VM. */
export function decodeWaiting(
  vmName: string,
  encoded: datagrams.PutWaiting,
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
    // Which servers have refused it only its own VM knows.
    avoidedIds: new Set(),
  };
}
