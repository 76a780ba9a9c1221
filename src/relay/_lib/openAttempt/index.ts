import * as http from "node:http";
import * as net from "node:net";

const NOTHING = Buffer.alloc(0);

/** How an attempt at a server began. */
export enum OpeningKind {
  /** No connection was made: the call did not leave this VM. */
  NotSent = "not-sent",
  /** The head of an answer came. */
  Answered = "answered",
  /** The call was sent, and nothing that can be read came back. */
  Lost = "lost",
}

/** The head of an answer, and the message whose body follows. */
export interface AnsweredOpening {
  readonly kind: OpeningKind.Answered;
  readonly message: http.IncomingMessage;
  readonly close: () => void;
  /** Once the message has ended: whether a reset cut it that was taken for the end of its body. */
  readonly isCutByReset: () => Promise<boolean>;
}

/** The outcome of the first half of an attempt. */
export type Opening =
  | AnsweredOpening
  | { readonly kind: OpeningKind.NotSent; readonly cause: string }
  | { readonly kind: OpeningKind.Lost; readonly cause: string };

/** What is sent to a server, and how long each step may take. */
export interface AttemptRequest {
  readonly host: string;
  readonly port: number;
  readonly method: string;
  readonly target: string;
  /** Names and values in turn; asked for once the connection stands. */
  readonly headers: () => readonly string[];
  readonly body: Buffer;
  readonly connectTimeoutMs: number;
  /** Called once the connection stands and before anything is sent; false gives the attempt up. */
  readonly onConnected?: () => boolean;
  /** Ends the attempt and closes its connection. */
  readonly signal: AbortSignal;
}

/**
 * Sends a call to a server on a connection of its own and waits for the head of the answer. A
 * connection that served another call could hold a late answer, or break while the call is on
 * its way and leave it unknown whether it ran.
 */
export async function openAttempt(request: AttemptRequest): Promise<Opening> {
  const socket = await connect(request);
  if (typeof socket === "string") return { kind: OpeningKind.NotSent, cause: socket };
  if (request.onConnected?.() === false) {
    socket.destroy();
    return { kind: OpeningKind.NotSent, cause: "given up once connected" };
  }
  return exchange(request, socket);
}

/** Whether a server accepts a connection; nothing is sent on it. */
export async function isReachable(
  host: string,
  port: number,
  options: { readonly connectTimeoutMs: number; readonly signal: AbortSignal },
): Promise<boolean> {
  const socket = await connect({ host, port, ...options });
  if (typeof socket === "string") return false;
  socket.destroy();
  return true;
}

type ConnectRequest = Pick<AttemptRequest, "host" | "port" | "connectTimeoutMs" | "signal">;

function connect(request: ConnectRequest): Promise<net.Socket | string> {
  return new Promise((resolve) => {
    if (request.signal.aborted) {
      resolve("aborted before connecting");
      return;
    }
    const { host, port } = request;
    const socket = net.connect({ host, port, noDelay: true, allowHalfOpen: true });
    const fail = (cause: string): void => {
      cleanUp();
      socket.destroy();
      resolve(cause);
    };
    const onAbort = (): void => fail("aborted while connecting");
    const onError = (error: Error): void => fail(error.message);
    const timer = setTimeout(() => fail("connecting timed out"), request.connectTimeoutMs);
    const cleanUp = (): void => {
      clearTimeout(timer);
      request.signal.removeEventListener("abort", onAbort);
      socket.off("error", onError);
      // A socket that is given up may still fail; that was reported already.
      socket.on("error", () => undefined);
    };
    request.signal.addEventListener("abort", onAbort, { once: true });
    socket.once("error", onError);
    socket.once("connect", () => {
      cleanUp();
      resolve(socket);
    });
  });
}

function exchange(request: AttemptRequest, socket: net.Socket): Promise<Opening> {
  return new Promise((resolve) => {
    const outgoing = http.request({
      createConnection: () => socket,
      method: request.method,
      path: request.target,
      setHost: false,
    });
    const headers = request.headers();
    for (let index = 0; index < headers.length; index += 2) {
      outgoing.appendHeader(headers[index] ?? "", headers[index + 1] ?? "");
    }
    const endCheck = watchEnd(socket);
    const close = (): void => void outgoing.destroy();
    request.signal.addEventListener("abort", close, { once: true });
    outgoing.once("close", () => request.signal.removeEventListener("abort", close));
    outgoing.once("response", (message) => {
      // Errors of the body reach its reader through "close" without "complete".
      message.on("error", () => undefined);
      const isCutByReset = async (): Promise<boolean> => !isFramed(message) && endCheck();
      resolve({ kind: OpeningKind.Answered, message, close, isCutByReset });
    });
    outgoing.on("error", (error) => resolve({ kind: OpeningKind.Lost, cause: error.message }));
    outgoing.once("close", () =>
      resolve({ kind: OpeningKind.Lost, cause: "closed without an answer" }),
    );
    outgoing.end(request.body);
  });
}

/**
 * Tells an orderly end of a connection from a reset. A reset that comes together with the last
 * bytes is reported as an end; an empty write then fails where the connection was reset. The
 * listeners go ahead of the parser's, which closes the socket.
 *
 * @returns a function that says, once the connection has ended, whether it was reset
 */
function watchEnd(socket: net.Socket): () => Promise<boolean> {
  let isReset = false;
  let probe: Promise<void> = Promise.resolve();
  socket.prependListener("error", () => {
    isReset = true;
  });
  socket.prependListener("end", () => {
    probe = new Promise((resolve) => {
      socket.write(NOTHING, (error) => {
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

/** Whether a message says where its body ends. */
function isFramed(message: http.IncomingMessage): boolean {
  const { headers } = message;
  return headers["content-length"] !== undefined || headers["transfer-encoding"] !== undefined;
}
