import * as dispatch from "../../../dispatch/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

/** What has become of a call's attempts so far. */
export interface CallRetryState extends Pick<
  dispatch.RetryState,
  "failure" | "sendsCount" | "pausesCount" | "canUseNewServer" | "hasSoundServer"
> {
  /** Servers that have received the call. */
  readonly triedIds: ReadonlySet<string>;
}

/** Plans when a call is sent again; null if it is not. */
export function planCallRetry(
  { clock, trust }: Pick<relayContext.RelayContext, "clock" | "trust">,
  call: types.Call,
  { triedIds, ...state }: CallRetryState,
): dispatch.RetryPlan | null {
  const nowMs = clock.nowMs();
  const callTimesMs = [...triedIds].map((id) => trust.typicalMs(id) ?? 0);
  return dispatch.planRetry({
    ...state,
    timeGivenMs: call.deadlineAtMs - call.arrivedAtMs,
    timeLeftMs: call.deadlineAtMs - nowMs,
    objectiveLeftMs: call.arrivedAtMs + call.route.objectiveMs - nowMs,
    callMs: Math.min(...callTimesMs),
  });
}
