import type * as crashes from "../../../crashes/index.js";
import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import * as headFaults from "../findHeadFault/index.js";
import * as collectBodies from "../collectBody/index.js";
import type * as heldBodies from "../heldBody/index.js";
import * as eventStreams from "../eventStream/index.js";
import * as serverReplacements from "../isServerReplaced/index.js";
import * as openAttempts from "../openAttempt/index.js";
import * as sendGates from "../sendGate/index.js";

export * from "../eventStream/index.js";

/** The kinds of outcome of requesting a stream from an engine. */
export enum OpenKind {
  Open = "open",
  /** The engine has not executed the call and will not. */
  NotRun = "not-run",
  /** A complete answer other than a stream, such as a failure. */
  Answered = "answered",
  /** The call may have been executed; no readable answer was received. */
  Unknown = "unknown",
  /** Nothing was sent, as servers have ended under such work. */
  Withheld = "withheld",
}

/** The outcome of requesting a stream from an engine. */
export type OpenOutcome =
  | {
      readonly kind: OpenKind.Open;
      readonly stream: eventStreams.EngineStream;
      readonly head: types.AnswerHead;
    }
  | {
      readonly kind: OpenKind.NotRun;
      readonly cause: string;
      readonly wasSent: boolean;
      /** Whether a connection was established, if nothing was sent. */
      readonly wasConnected?: boolean;
      /** Whether another server now has the address. */
      readonly isOtherServer: boolean;
    }
  | {
      readonly kind: OpenKind.Answered;
      readonly serverId: string;
      readonly head: types.AnswerHead;
      readonly body: heldBodies.HeldBody;
    }
  | { readonly kind: OpenKind.Unknown; readonly cause: string }
  | { readonly kind: OpenKind.Withheld; readonly blame: crashes.Blame };

/** Whether the engine may have executed the call, by the outcome of requesting its stream. */
export function hasMaybeRun({ kind }: OpenOutcome): boolean {
  return kind !== OpenKind.NotRun && kind !== OpenKind.Withheld;
}

const OK_STATUS = 200;

/** Parameters of a request for a stream. */
export interface OpenRequest {
  readonly server: servers.ServerEntry;
  /** Returns the parameters of the attempt; called when the connection is established. */
  readonly options: () => types.AttemptOptions;
  /** Called when the connection is established, before anything is sent; false ends the attempt. */
  readonly onConnected?: () => boolean;
  readonly signal: AbortSignal;
}

interface WatchedOpening {
  readonly server: servers.ServerEntry;
  readonly opening: openAttempts.AnsweredOpening;
  readonly watched: crashes.WatchedRun;
  readonly signal: AbortSignal;
}

/** What requesting a stream needs. */
type OpenContext = Pick<
  relayContext.RelayContext,
  "answers" | "backpressure" | "codec" | "connector" | "crashMonitor" | "directory" | "onAnswerHead"
>;

/** Requests a stream from an engine; resolves with the outcome, also of a failure. */
export async function openStream(
  context: OpenContext,
  call: types.Call,
  { server, options, onConnected = () => true, signal }: OpenRequest,
): Promise<OpenOutcome> {
  const { codec, connector, crashMonitor } = context;
  const blame = crashMonitor.findBlame(call);
  if (blame !== null) return { kind: OpenKind.Withheld, blame };
  const watched = crashMonitor.watch(server, { ...call, requestId: call.head.id }, signal);
  const opening = await openAttempts.openAttempt({
    connector,
    server,
    requestId: call.head.id,
    method: call.head.method,
    target: call.head.target,
    headers: () => codec.encodeAttempt(call, options()),
    body: call.body,
    onConnected: () => sendGates.isOpen(context, server) && onConnected(),
    signal,
  });
  if (opening.kind === openAttempts.OpeningKind.NotSent) {
    watched[Symbol.dispose]();
    const { cause, wasConnected } = opening;
    return { kind: OpenKind.NotRun, cause, wasConnected, wasSent: false, isOtherServer: false };
  }
  if (opening.kind === openAttempts.OpeningKind.Lost) {
    await watched.recordBreak();
    return { kind: OpenKind.Unknown, cause: opening.cause };
  }
  return classifyOpening(context, call, { server, opening, watched, signal });
}

async function classifyOpening(
  { answers, codec, onAnswerHead }: OpenContext,
  call: types.Call,
  { server, opening, watched, signal }: WatchedOpening,
): Promise<OpenOutcome> {
  const head = codec.decodeAnswer(opening.message);
  onAnswerHead(server, head, opening.peer);
  const fault = headFaults.findHeadFault(call, head);
  if (fault !== null) {
    watched[Symbol.dispose]();
    opening.close();
    return { kind: OpenKind.Unknown, cause: fault };
  }
  if (head.isNotRun) {
    watched[Symbol.dispose]();
    opening.close();
    const cause = `status ${head.status}`;
    const isOtherServer = serverReplacements.isServerReplaced(call, server, head);
    return { kind: OpenKind.NotRun, cause, wasSent: true, isOtherServer };
  }
  if (head.status === OK_STATUS) {
    watched.recordBegin();
    const stream = new eventStreams.EngineStream(server, opening, watched, {
      answers,
      requestId: call.head.id,
    });
    return { kind: OpenKind.Open, stream, head };
  }
  const body = await answers.read(opening.message, {
    requestId: call.head.id,
    serverId: server.id,
    method: call.head.method,
    close: opening.close,
    signal,
  });
  const outcome = await classifyBody(server.id, head, opening, body);
  // An error status does not show that the engine has run the work.
  if (outcome.kind === OpenKind.Answered) watched[Symbol.dispose]();
  else await watched.recordBreak();
  return outcome;
}

async function classifyBody(
  serverId: string,
  head: types.AnswerHead,
  opening: openAttempts.AnsweredOpening,
  body: heldBodies.HeldBody,
): Promise<OpenOutcome> {
  const isWhole = body.end === collectBodies.BodyEnd.Complete && !(await opening.isCutOff());
  opening.close();
  if (isWhole && !body.wasEvicted) return { kind: OpenKind.Answered, serverId, head, body };
  body[Symbol.dispose]();
  return { kind: OpenKind.Unknown, cause: `body of status ${head.status} ${body.end}` };
}
