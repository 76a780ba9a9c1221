import * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as answerFaults from "../answerFaultOf/index.js";
import * as collectBodies from "../collectBody/index.js";
import * as openAttempts from "../openAttempt/index.js";

/** How sending a call to a server ended. */
export enum SendKind {
  /** A whole answer of the server's, whatever its status. */
  Answered = "answered",
  /** The server has not run the call and will not. */
  NotRun = "not-run",
  /** The call may have run; no answer came that can be passed on. */
  Unknown = "unknown",
}

/** A whole answer of a server. */
export interface WholeAnswer {
  readonly kind: SendKind.Answered;
  readonly serverId: string;
  readonly head: types.AnswerHead;
  readonly body: Buffer;
}

/** A call that a server has not run. */
export interface NotRun {
  readonly kind: SendKind.NotRun;
  readonly cause: string;
  readonly wasSent: boolean;
  /** Whether another server has the address now. */
  readonly isOtherServer: boolean;
}

/** The outcome of sending a call whose answer is taken whole. */
export type SendOutcome =
  WholeAnswer | NotRun | { readonly kind: SendKind.Unknown; readonly cause: string };

const SERVER_ERROR_STATUS = 500;

/** Sends a call to a plain server and takes its answer whole. */
export async function sendWhole(
  codec: types.WireCodec,
  call: types.Call,
  options: types.AttemptOptions,
  signal: AbortSignal,
): Promise<SendOutcome> {
  const opening = await openAttempts.openAttempt({
    host: options.server.host,
    port: options.server.port,
    method: call.head.method,
    target: call.head.target,
    headers: () => codec.encodeAttempt(call, options),
    body: call.body,
    connectTimeoutMs: constants.CONNECT_TIMEOUT_MS,
    signal,
  });
  if (opening.kind === openAttempts.OpeningKind.NotSent) {
    return { kind: SendKind.NotRun, cause: opening.cause, wasSent: false, isOtherServer: false };
  }
  if (opening.kind === openAttempts.OpeningKind.Lost) {
    return { kind: SendKind.Unknown, cause: opening.cause };
  }
  const head = codec.decodeAnswer(opening.message);
  const collected = await collectBodies.collectBody(opening.message, constants.MAX_ANSWER_BYTES);
  const isCut = await opening.isCutByReset();
  opening.close();
  return judge(
    call,
    options.server.id,
    head,
    isCut ? { ...collected, end: collectBodies.BodyEnd.CutOff } : collected,
  );
}

/** What an outcome tells about the server. */
export function verdictOf(outcome: SendOutcome): servers.AttemptVerdict {
  if (outcome.kind === SendKind.Unknown) return servers.AttemptVerdict.Broken;
  if (outcome.kind === SendKind.NotRun) {
    return outcome.wasSent ? servers.AttemptVerdict.Refused : servers.AttemptVerdict.Unreachable;
  }
  const isFailure = outcome.head.status >= SERVER_ERROR_STATUS;
  return isFailure ? servers.AttemptVerdict.Failed : servers.AttemptVerdict.Served;
}

function judge(
  call: types.Call,
  serverId: string,
  head: types.AnswerHead,
  collected: collectBodies.CollectedBody,
): SendOutcome {
  if (head.isNotRun) {
    const { isOtherServer } = head;
    return { kind: SendKind.NotRun, cause: `status ${head.status}`, wasSent: true, isOtherServer };
  }
  const fault = faultOf(call, head, collected);
  if (fault !== null) return { kind: SendKind.Unknown, cause: fault };
  return { kind: SendKind.Answered, serverId, head, body: collected.body };
}

function faultOf(
  call: types.Call,
  head: types.AnswerHead,
  collected: collectBodies.CollectedBody,
): string | null {
  const headFault = answerFaults.answerFaultOf(call, head);
  if (headFault !== null) return headFault;
  return collected.end === collectBodies.BodyEnd.Whole ? null : `body ${collected.end}`;
}
