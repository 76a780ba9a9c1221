import * as counts from "../../../_lib/changeCount/index.js";
import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import * as types from "../../types.js";
import * as plainAttempts from "../recordPlainAttempt/index.js";
import * as releasePlaces from "../releasePlace/index.js";
import type * as sends from "../sendBuffered/index.js";

/** One attempt of a call, and the counts that it changes. */
export interface CallAttempt {
  readonly server: servers.ServerEntry;
  readonly way: sends.SendWay;
  /** Calls of this VM in progress, by server. */
  readonly pendingCounts: Map<string, number>;
  /** Attempts of the call so far, and those in progress. */
  readonly progress: { readonly sendsCount: number; pendingCount: number };
  readonly sendBuffered: typeof sends.sendBuffered;
  readonly signal: AbortSignal;
}

/** The outcome of an attempt, and how long it took. */
export interface AttemptResult {
  readonly outcome: sends.SendOutcome;
  readonly elapsedMs: number;
}

/** Sends a call to a server, where it takes one of this VM's places unless a peer has lent it one. */
export async function attemptCall(
  context: relayContext.RelayContext,
  call: types.Call,
  { server, way, pendingCounts, progress, sendBuffered, signal }: CallAttempt,
): Promise<AttemptResult> {
  const startedAtMs = context.clock.nowMs();
  const place = way.connection === undefined ? context.places.take(server) : null;
  counts.changeCount(pendingCounts, server.id, 1);
  plainAttempts.recordPlacement(context, call, {
    server,
    pendingCount: pendingCounts.get(server.id) ?? 0,
    sendsCount: progress.sendsCount,
    lender: way.connection?.peer?.vmName,
  });
  const timeLeftMs = call.deadlineAtMs - startedAtMs;
  const options = { ...types.PLAIN_ATTEMPT_OPTIONS, server, timeLeftMs, ...way };
  const sent = sendBuffered(context, call, options, signal);
  if (place !== null) void releasePlaces.releasePlace(context, server, place, sent);
  const outcome = await sent.finally(() => {
    counts.changeCount(pendingCounts, server.id, -1);
    progress.pendingCount -= 1;
  });
  return { outcome, elapsedMs: context.clock.nowMs() - startedAtMs };
}
