import type * as dispatch from "../../../dispatch/index.js";
import type * as dispatcherTypes from "../../engineDispatcher/types.js";

/** Creates the claim of a generation on an engine. */
export function createClaim(
  request: dispatcherTypes.PlacementRequest,
  serverId: string,
  vmName: string,
): dispatch.Claim {
  return {
    requestId: request.requestId,
    role: request.role,
    vmName,
    serverId,
    unreadTokens: request.need.unreadTokens,
    promptTokens: request.need.promptTokens,
    expectedOutputTokens: request.need.expectedOutputTokens,
    producedTokens: request.need.producedTokens,
    hasFirstEvent: request.need.unreadTokens === 0,
    ...createOrigin(request),
  };
}

function createOrigin({
  accountName,
  priority,
}: dispatcherTypes.PlacementRequest): Pick<dispatch.Claim, "origin"> {
  return accountName === undefined ? {} : { origin: { accountName, priority } };
}
