import type * as backendServers from "../../../../standins/platform/backendServer/index.js";

/** Body of an answer whose head is spoiled: one event, which other answers can have, too. */
export const BODY = "id: 1\ndata: a\n\n";

/** Status lines of which a byte or two are wrong, and heads whose lines are. */
export const SPOILED_HEADS: Readonly<Record<string, readonly string[]>> = {
  "a status of 000": ["HTTP/1.1 000 OK"],
  "a status of 001": ["HTTP/1.1 001 OK"],
  "a status of 099": ["HTTP/1.1 099 OK"],
  "a status of 100": ["HTTP/1.1 100 OK"],
  "a status of 101": ["HTTP/1.1 101 OK"],
  "a status of 199": ["HTTP/1.1 199 OK"],
  "a status of 600": ["HTTP/1.1 600 OK"],
  "a status of 999": ["HTTP/1.1 999 OK"],
  "a letter in its status": ["HTTP/1.1 2o0 OK"],
  "a status of two digits": ["HTTP/1.1 20 OK"],
  "a status of four digits": ["HTTP/1.1 2000 OK"],
  "another protocol version": ["HTTP/7.1 200 OK"],
  "another protocol": ["HTXP/1.1 200 OK"],
  "a zero byte in a header": ["HTTP/1.1 200 OK", "X-Odd: a\0b"],
  "a header without a colon": ["HTTP/1.1 200 OK", "X-Odd"],
  "a header name with a space": ["HTTP/1.1 200 OK", "X Odd: a"],
  "two lengths": ["HTTP/1.1 200 OK", "Content-Length: 3"],
  "a length below zero": ["HTTP/1.1 200 OK", "Content-Length: -1"],
};

/** Creates the head of a signed answer to a call, which begins with the given lines. */
export function createHead(
  lines: readonly string[],
  call: backendServers.ReceivedCall,
  server: backendServers.BackendServer,
): string {
  const headers = Object.entries(server.createAnswerHeaders(call)).map(
    ([name, value]) => `${name}: ${String(value)}`,
  );
  return [...lines, ...headers, `Content-Length: ${BODY.length}`, "", ""].join("\r\n");
}
