import type * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import type * as dispatch from "../../../dispatch/index.js";
import type * as types from "../../engineDispatcher/types.js";

/** How the placement of a generation ended. */
export type PlacementResult = neverthrow.Result<types.Placement, types.PlacementRefusal>;

/** A generation that waits for capacity at this VM. */
export interface LocalWaitingGeneration extends dispatch.FleetWaiting {
  readonly request: types.PlacementRequest;
  /** On this VM's monotonic clock. */
  readonly enqueuedAtMs: number;
  readonly settle: (result: PlacementResult) => void;
}

/** Creates the entry of a generation in this VM's queue. */
export function createLocalWaiting(
  request: types.PlacementRequest,
  { clock, vmName }: { readonly clock: clocks.Clock; readonly vmName: string },
  settle: LocalWaitingGeneration["settle"],
): LocalWaitingGeneration {
  const nowMs = clock.nowMs();
  const nowWallMs = clock.wallTimeMs();
  const { requestId, serviceName, priority, need, avoidedIds, accountName } = request;
  return {
    request,
    requestId,
    vmName,
    serviceName,
    priority,
    need,
    avoidedIds,
    ...(accountName === undefined ? {} : { accountName }),
    enqueuedAtMs: nowMs,
    enqueuedAtWallMs: nowWallMs,
    objectiveAtWallMs: nowWallMs + request.objectiveAtMs - nowMs,
    settle,
  };
}
