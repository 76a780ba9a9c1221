import * as diagnostics from "../../../diagnostics/index.js";
import * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import * as sends from "../sendBuffered/index.js";

const { Importance, LogEvent } = diagnostics;

/** One attempt of a plain call. */
export interface PlainAttempt {
  readonly server: servers.ServerEntry;
  readonly outcome: sends.SendOutcome;
  readonly elapsedMs: number;
}

/** Logs to which server a call is sent. */
export function recordPlacement(
  { trust, log }: relayContext.RelayContext,
  { head, route, account }: types.Call,
  {
    server,
    ...counts
  }: {
    readonly server: servers.ServerEntry;
    /** Calls of this VM in progress at the server, this one included. */
    readonly pendingCount: number;
    readonly sendsCount: number;
    /** The VM that has lent a place at the server, if it is brittle. */
    readonly lender?: string | undefined;
  },
): void {
  log.record(Importance.Routine, LogEvent.RequestPlaced, {
    requestId: head.id,
    route: route.name,
    account: account?.name,
    serverId: server.id,
    failureRatio: Number(trust.failureRatio(server.id).toFixed(2)),
    ...counts,
  });
}

/** Records the outcome of an attempt as evidence about the server, and logs and counts it. */
export function recordPlainAttempt(
  { trust, loads, meters, log }: relayContext.RelayContext,
  call: types.Call,
  { server, outcome, elapsedMs }: PlainAttempt,
): void {
  if (outcome.kind === sends.SendKind.Withheld) return;
  const verdict = sends.verdictOf(outcome);
  trust.recordOutcome(server, verdict, elapsedMs);
  meters.attempts.inc({ service: call.serviceName, outcome: verdict });
  if (verdict === servers.AttemptVerdict.Served) {
    loads.recordAnswer(server, elapsedMs);
    return;
  }
  const isRejection = verdict === servers.AttemptVerdict.Refused && isSentToServer(outcome);
  if (isRejection) loads.recordRejection(server);
  log.record(Importance.Notable, LogEvent.AttemptEnded, {
    requestId: call.head.id,
    serverId: server.id,
    verdict,
    status: outcome.kind === sends.SendKind.Answered ? outcome.head.status : null,
    cause: outcome.kind === sends.SendKind.Answered ? null : outcome.cause,
    failureRatio: Number(trust.failureRatio(server.id).toFixed(2)),
    elapsedMs: Math.round(elapsedMs),
  });
}

/** Logs that a caller gets the answer of a server. */
export function recordForwardedAnswer(
  { clock, log }: relayContext.RelayContext,
  call: types.Call,
  answer: sends.BufferedAnswer,
  sendsCount: number,
): void {
  const isServed = sends.verdictOf(answer) === servers.AttemptVerdict.Served;
  const importance = isServed ? Importance.Routine : Importance.Notable;
  const event = isServed ? LogEvent.RequestServed : LogEvent.RequestFailed;
  log.record(importance, event, {
    requestId: call.head.id,
    route: call.route.name,
    serverId: answer.serverId,
    status: answer.head.status,
    sendsCount,
    elapsedMs: Math.round(clock.nowMs() - call.arrivedAtMs),
  });
}

function isSentToServer(outcome: sends.SendOutcome): boolean {
  return outcome.kind !== sends.SendKind.NotRun || (outcome.wasSent && !outcome.isOtherServer);
}
