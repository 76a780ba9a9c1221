// A stand-in of a client (PROTOCOL.md, "Requests" and "Answers").
import * as crypto from "node:crypto";
import * as http from "node:http";

let attemptsCount = 0;

/** A new attempt id. */
export function newAttemptId() {
  attemptsCount += 1;
  return `a${String(attemptsCount).padStart(4, "0")}${crypto.randomBytes(5).toString("hex")}`;
}

/**
 * Sends one attempt and resolves with what the client has seen: status, headers, body, and whether the answer
 * is complete. Never rejects.
 */
export function send(record, gateway, options) {
  const { host = "app.example", path, method = "POST", body = "", headers = {}, agent } = options;
  const attempt = options.attempt ?? newAttemptId();
  const sentAtMs = Date.now();
  record("client", `sends ${method} ${path}`, { attempt, to: gateway.name });
  return new Promise((resolve) => {
    const chunks = [];
    let answer = null;
    let isSettled = false;
    const finish = (error) => {
      if (isSettled) return;
      isSettled = true;
      const seen = {
        attempt,
        status: answer?.statusCode ?? null,
        headers: answer?.headers ?? {},
        body: Buffer.concat(chunks).toString("latin1"),
        isComplete: answer?.complete === true && error === undefined,
        error: error?.code ?? error?.message ?? null,
        elapsedMs: Date.now() - sentAtMs,
      };
      const { status, isComplete, elapsedMs } = seen;
      const retryAfter = seen.headers["retry-after"] ?? null;
      const signature = seen.headers["x-engine-signature"] ?? null;
      const fields = { attempt, status, retryAfter, signature, isComplete, elapsedMs };
      record("client", "answer", { ...fields, error: seen.error });
      resolve(seen);
    };
    const request = http.request({
      ...gateway.frontend,
      method,
      path,
      agent: agent ?? false,
      headers: {
        Host: host,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "6000",
        ...headers,
        ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
      },
    });
    request.once("response", (response) => {
      answer = response;
      response.on("data", (chunk) => chunks.push(chunk));
      response.once("end", () => finish());
      response.once("error", (error) => finish(error));
      response.once("close", () => finish(response.complete ? undefined : new Error("cut off")));
    });
    request.once("error", (error) => finish(error));
    options.onRequest?.(request);
    request.end(body);
  });
}
