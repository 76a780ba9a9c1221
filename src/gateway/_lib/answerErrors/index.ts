import type * as http from "node:http";
import type * as net from "node:net";

import * as diagnostics from "../../../diagnostics/index.js";
import * as relay from "../../../relay/index.js";
import type * as types from "../../types.js";
import type * as pendingAnswers from "../pendingAnswers/index.js";

/** HTTP status lines for input that cannot be parsed, by the parser's error code. */
const MALFORMED_STATUS: Readonly<Partial<Record<string, string>>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

/**
 * Answers 502 to a request whose handling failed with an unexpected error, as a server may have executed the
 * request; closes the connection if an answer has begun.
 */
export function answerInternalError(
  { codec, log, meters }: Pick<types.GatewayPorts, "codec" | "log" | "meters">,
  error: unknown,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const requestId = codec.decodeCall(request).unwrapOr(null)?.id ?? "";
  const { Request } = diagnostics.ErrorOrigin;
  diagnostics.recordInternalError({ log, meters }, Request, error, { requestId });
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { reason, status } = relay.createRefusal(
    relay.RefusalReason.InternalError,
    relay.Execution.MayHaveRun,
  );
  meters.refusals.inc({ reason });
  response.writeHead(status, { "Content-Length": 0, Connection: "close" }).end();
}

/**
 * Answers input that cannot be parsed, as far as the connection allows, and closes the connection. The answer is
 * sent after the answers to the complete requests before it, as the caller would otherwise take it for one of them.
 */
export function answerMalformed(
  ports: Pick<types.GatewayPorts, "log">,
  error: NodeJS.ErrnoException,
  socket: net.Socket,
  pending: pendingAnswers.PendingAnswers,
): void {
  pending.endAfterComplete(socket, () => {
    closeMalformed(ports, error, socket, !pending.hasBegunAnswer(socket));
  });
}

function closeMalformed(
  { log }: Pick<types.GatewayPorts, "log">,
  error: NodeJS.ErrnoException,
  socket: net.Socket,
  canAnswer: boolean,
): void {
  const status = MALFORMED_STATUS[error.code ?? ""] ?? "400 Bad Request";
  log.record(diagnostics.Importance.Notable, diagnostics.LogEvent.MalformedInput, {
    code: error.code ?? error.message,
  });
  const isAnswerable = canAnswer && socket.writable && error.code !== "ECONNRESET";
  if (isAnswerable) {
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
  } else {
    socket.destroy();
  }
}
