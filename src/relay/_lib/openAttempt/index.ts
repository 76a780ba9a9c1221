import * as http from "node:http";
import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as serverLinks from "../../../serverLinks/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";

const EMPTY_BUFFER = Buffer.alloc(0);

/** The kinds of outcome of opening an attempt at a server. */
export enum OpeningKind {
  /** Nothing was sent: the call did not leave this VM. */
  NotSent = "not-sent",
  /** The head of an answer was received. */
  Answered = "answered",
  /** The call was sent, and no readable answer was received. */
  Lost = "lost",
}

/** The head of an answer, and the message whose body follows. */
export interface AnsweredOpening {
  readonly kind: OpeningKind.Answered;
  readonly message: http.IncomingMessage;
  /** The peer through whose tunnel it came; null if this VM reached the server itself. */
  readonly peer: serverLinks.TunnelPeer | null;
  readonly close: () => void;
  /**
   * After the message has ended: whether the end of its connection was taken for that of its body, although the
   * connection was reset, or the process at its other end has ended.
   */
  readonly isCutOff: () => Promise<boolean>;
}

/** Nothing was sent. */
interface NotSentOpening {
  readonly kind: OpeningKind.NotSent;
  readonly cause: string;
  /** Whether the call was cancelled after a connection was established. */
  readonly wasConnected: boolean;
}

/** The outcome of opening an attempt: everything up to the head of the answer. */
export type Opening =
  AnsweredOpening | NotSentOpening | { readonly kind: OpeningKind.Lost; readonly cause: string };

/** The request of one attempt, and its abort signal. */
export interface AttemptRequest {
  readonly connector: Pick<serverLinks.ServerConnector, "connect" | "isStillUp">;
  readonly server: servers.ServerEntry;
  readonly requestId: string;
  readonly method: string;
  readonly target: string;
  /** Returns alternating names and values; called when the connection is established. */
  readonly headers: () => readonly string[];
  readonly body: Buffer;
  /** Called when the connection is established, before anything is sent; false ends the attempt. */
  readonly onConnected?: () => boolean;
  /** Whether the call may be executed more than once. */
  readonly isRepeatable?: boolean;
  /** Whether the attempt goes through a peer where one opens a tunnel. */
  readonly prefersPeer?: boolean;
  /** A connection that is open already. */
  readonly connection?: serverLinks.ServerConnection | undefined;
  /** Aborts the attempt and closes its connection. */
  readonly signal: AbortSignal;
}

/**
 * Sends a call to a server on a new connection and waits for the head of the answer. A reused
 * connection could deliver a late answer to an earlier call, or break while the call is sent, which
 * leaves it unknown whether the call was executed.
 */
export async function openAttempt(request: AttemptRequest): Promise<Opening> {
  const connected =
    request.connection === undefined
      ? await request.connector.connect(request.server, request)
      : neverthrow.ok(request.connection);
  if (connected.isErr()) return notSent(connected.error, false);
  const { socket } = connected.value;
  if (socket.destroyed) return notSent("closed before sending", true);
  if (request.onConnected?.() === false) {
    socket.destroy();
    return notSent("cancelled after connecting, before sending", true);
  }
  return sendRequest(request, connected.value);
}

function notSent(cause: string, wasConnected: boolean): NotSentOpening {
  return { kind: OpeningKind.NotSent, cause, wasConnected };
}

/** Sends the request on an open connection; nothing was sent if it cannot be written as HTTP. */
function sendRequest(
  request: AttemptRequest,
  connection: serverLinks.ServerConnection,
): Promise<Opening> {
  return new Promise((resolve) => {
    try {
      const outgoing = createRequest(request, connection.socket);
      awaitAnswer(request, connection, outgoing, resolve);
      outgoing.end(request.body);
    } catch (error) {
      connection.socket.destroy();
      const cause = error instanceof Error ? error.message : String(error);
      resolve(notSent(`not written: ${cause}`, false));
    }
  });
}

function createRequest(request: AttemptRequest, socket: net.Socket): http.ClientRequest {
  const outgoing = http.request({
    createConnection: () => socket,
    method: request.method,
    path: request.target,
    setHost: false,
  });
  // If the request cannot be written, nobody else listens to the error of its closed connection.
  outgoing.on("error", () => undefined);
  const headers = request.headers();
  for (let index = 0; index < headers.length; index += 2) {
    outgoing.appendHeader(headers[index] ?? "", headers[index + 1] ?? "");
  }
  return outgoing;
}

function awaitAnswer(
  request: AttemptRequest,
  { socket, peer, recordBytes }: serverLinks.ServerConnection,
  outgoing: http.ClientRequest,
  resolve: (opening: Opening) => void,
): void {
  const { server } = request;
  const wasReset = watchForReset(socket);
  const close = (): void => void outgoing.destroy();
  request.signal.addEventListener("abort", close, { once: true });
  outgoing.once("close", () => request.signal.removeEventListener("abort", close));
  let informationCount = 0;
  outgoing.on("information", () => {
    informationCount += 1;
    if (informationCount === constants.MAX_INFORMATIONAL_ANSWERS_COUNT + 1)
      outgoing.destroy(new Error(`${informationCount} informational answers before the answer`));
  });
  outgoing.once("response", (message) => {
    recordBytes();
    // The reader of the body detects errors by "close" without "complete".
    message.on("error", () => undefined);
    const isCutOff = async (): Promise<boolean> => {
      if (isFramed(message)) return false;
      return (await wasReset()) || !(await request.connector.isStillUp(server, peer, request));
    };
    resolve({ kind: OpeningKind.Answered, message, peer, close, isCutOff });
  });
  outgoing.on("error", (error) => resolve({ kind: OpeningKind.Lost, cause: error.message }));
  outgoing.once("close", () =>
    resolve({ kind: OpeningKind.Lost, cause: "closed without an answer" }),
  );
}

/**
 * Distinguishes an orderly end of a connection from a reset. Node reports a reset that arrives
 * together with the last bytes as an end; an empty write then fails if the connection was reset.
 * The listeners are prepended because the HTTP parser's listeners close the socket.
 *
 * @returns a function that, after the connection has ended, resolves with whether it was reset
 */
function watchForReset(socket: net.Socket): () => Promise<boolean> {
  let isReset = false;
  let probe: Promise<void> = Promise.resolve();
  socket.prependListener("error", () => {
    isReset = true;
  });
  socket.prependListener("end", () => {
    probe = new Promise((resolve) => {
      socket.write(EMPTY_BUFFER, (error) => {
        isReset ||= error instanceof Error;
        resolve();
      });
    });
  });
  return async () => {
    await probe;
    return isReset;
  };
}

/** Statuses of answers that have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Returns whether a message's head defines the end of its body. */
export function isFramed({ headers, statusCode = 0 }: http.IncomingMessage): boolean {
  const hasBounds =
    headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
  return hasBounds || BODILESS_STATUSES.has(statusCode);
}
