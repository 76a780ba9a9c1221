import * as notRunPromises from "../../../_lib/promisesNotRun/index.js";
import type * as crashes from "../../../crashes/index.js";
import * as routing from "../../../routing/index.js";
import type * as serverLinks from "../../../serverLinks/index.js";
import * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import * as headFaults from "../findHeadFault/index.js";
import * as collectBodies from "../collectBody/index.js";
import type * as heldBodies from "../heldBody/index.js";
import * as serverReplacements from "../isServerReplaced/index.js";
import * as openAttempts from "../openAttempt/index.js";
import * as sendGates from "../sendGate/index.js";

/** The kinds of outcome of sending a call to a server. */
export enum SendKind {
  /** The server gave a complete answer, of any status. */
  Answered = "answered",
  /** The server has not executed the call and will not. */
  NotRun = "not-run",
  /** The call may have been executed; no answer that can be forwarded was received. */
  Unknown = "unknown",
  /** Nothing was sent, as servers have ended under such work. */
  Withheld = "withheld",
}

/** A server's answer, buffered until it was complete. */
export interface BufferedAnswer {
  readonly kind: SendKind.Answered;
  readonly serverId: string;
  readonly head: types.AnswerHead;
  readonly body: heldBodies.HeldBody;
}

/** A call that a server has not executed. */
export interface NotRun {
  readonly kind: SendKind.NotRun;
  readonly cause: string;
  readonly wasSent: boolean;
  /** Whether a connection was established, if nothing was sent. */
  readonly wasConnected?: boolean;
  /** Whether another server now has the address. */
  readonly isOtherServer: boolean;
}

/** A call that was not sent, as servers have ended under such work. */
export interface Withheld {
  readonly kind: SendKind.Withheld;
  readonly blame: crashes.Blame;
}

/** A call that may have been executed, without an answer that can be forwarded. */
export interface Unknown {
  readonly kind: SendKind.Unknown;
  readonly cause: string;
  /** Whether the server has ended while it ran the call. */
  readonly hasServerEnded: boolean;
}

/** The outcome of sending a call whose answer is buffered. */
export type SendOutcome = BufferedAnswer | NotRun | Withheld | Unknown;

/** The way of an attempt to its server; by default a connection is opened over this VM's own links. */
export interface SendWay {
  /** Whether the attempt goes through a peer where one opens a tunnel. */
  readonly prefersPeer?: boolean;
  /** A connection that is open already; the attempt uses it instead of a new one, and closes it at its end. */
  readonly connection?: serverLinks.ServerConnection;
}

/** Parameters of an attempt, and the way to the server. */
export interface SendOptions extends types.AttemptOptions, SendWay {}

const SERVER_ERROR_STATUS = 500;

/** What sending a call needs. */
type SendContext = Pick<
  relayContext.RelayContext,
  "answers" | "backpressure" | "codec" | "connector" | "crashMonitor" | "directory" | "onAnswerHead"
>;

/** Sends a call to a plain server and buffers its answer; resolves with the outcome, also of a failure. */
export async function sendBuffered(
  context: SendContext,
  call: types.Call,
  options: SendOptions,
  signal: AbortSignal,
): Promise<SendOutcome> {
  const { crashMonitor } = context;
  const blame = crashMonitor.findBlame(call);
  if (blame !== null) {
    options.connection?.socket.destroy();
    return { kind: SendKind.Withheld, blame };
  }
  const watched = crashMonitor.watch(options.server, { ...call, requestId: call.head.id }, signal);
  const outcome = await send(context, call, options, signal);
  if (verdictOf(outcome) === servers.AttemptVerdict.Served) watched.recordSurvival();
  else if (outcome.kind === SendKind.Unknown)
    return { ...outcome, hasServerEnded: await watched.recordBreak() };
  else watched[Symbol.dispose]();
  return outcome;
}

async function send(
  context: SendContext,
  call: types.Call,
  options: SendOptions,
  signal: AbortSignal,
): Promise<SendOutcome> {
  const { answers, codec, connector, onAnswerHead } = context;
  const opening = await openAttempts.openAttempt({
    connector,
    server: options.server,
    requestId: call.head.id,
    method: call.head.method,
    target: call.head.target,
    headers: () => codec.encodeAttempt(call, options),
    body: call.body,
    isRepeatable: call.route.kind === routing.RouteKind.Idempotent,
    prefersPeer: options.prefersPeer === true,
    connection: options.connection,
    onConnected: () => sendGates.isOpen(context, options.server),
    signal,
  });
  if (opening.kind === openAttempts.OpeningKind.NotSent) {
    const { cause, wasConnected } = opening;
    return { kind: SendKind.NotRun, cause, wasConnected, wasSent: false, isOtherServer: false };
  }
  if (opening.kind === openAttempts.OpeningKind.Lost) {
    return { kind: SendKind.Unknown, cause: opening.cause, hasServerEnded: false };
  }
  const head = codec.decodeAnswer(opening.message);
  onAnswerHead(options.server, head, opening.peer);
  const outcome = classifyHead(call, options.server, head);
  if (outcome !== null) {
    // Its body is of no use.
    opening.close();
    return outcome;
  }
  const body = await answers.read(opening.message, {
    requestId: call.head.id,
    serverId: options.server.id,
    method: call.head.method,
    close: opening.close,
    signal,
  });
  const isWhole = body.end === collectBodies.BodyEnd.Complete;
  const isTruncated = isWhole && (await opening.isCutOff());
  opening.close();
  if (isWhole && !isTruncated && !body.wasEvicted)
    return { kind: SendKind.Answered, serverId: options.server.id, head, body };
  body[Symbol.dispose]();
  const { Evicted, Truncated } = collectBodies.BodyEnd;
  const failedEnd = body.wasEvicted ? Evicted : isTruncated ? Truncated : body.end;
  return createUnknown(`body ${failedEnd}`);
}

/** Returns the verdict on the server that follows from an outcome. */
export function verdictOf(outcome: SendOutcome): servers.AttemptVerdict {
  if (outcome.kind === SendKind.Unknown) return servers.AttemptVerdict.Broken;
  if (outcome.kind === SendKind.Withheld) return servers.AttemptVerdict.Refused;
  if (outcome.kind === SendKind.NotRun) {
    const wasReached = outcome.wasSent || outcome.wasConnected === true;
    return wasReached ? servers.AttemptVerdict.Refused : servers.AttemptVerdict.Unreachable;
  }
  const { status } = outcome.head;
  const isFailure = status >= SERVER_ERROR_STATUS || notRunPromises.promisesNotRun(status);
  return isFailure ? servers.AttemptVerdict.Failed : servers.AttemptVerdict.Served;
}

/** Returns the outcome of an answer whose head alone decides; null if its body is needed. */
function classifyHead(
  call: types.Call,
  server: servers.ServerEntry,
  head: types.AnswerHead,
): SendOutcome | null {
  const fault = headFaults.findHeadFault(call, head);
  if (fault !== null) return createUnknown(fault);
  if (!head.isNotRun) return null;
  const isOtherServer = serverReplacements.isServerReplaced(call, server, head);
  return { kind: SendKind.NotRun, cause: `status ${head.status}`, wasSent: true, isOtherServer };
}

function createUnknown(cause: string): Unknown {
  return { kind: SendKind.Unknown, cause, hasServerEnded: false };
}
