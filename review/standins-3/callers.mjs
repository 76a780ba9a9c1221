// A client of the platform: one attempt on a channel of its own, and what it has seen of the answer.
import * as http from "node:http";

let attemptsCount = 0;

export const HOST = "ficu95.example";
export const API_KEY = "xd9dnn2ctnfzs989anu6";

/** Headers of a generation, as on the users' page. */
export const GENERATION_HEADERS = {
  "X-Model": "m",
  "X-Token-Count": "1460,80",
  "X-Prefix-Hash": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
};

/** Sends one attempt, on a new channel unless an agent keeps some; resolves with status, body and whether the answer was complete in the protocol. */
export function call(gateway, { method = "POST", path, timeLeftMs, agent = false, ...rest }) {
  const { headers = {}, body = "x" } = rest;
  const id = `${process.pid.toString(16)}${(attemptsCount += 1).toString(16).padStart(8, "0")}`;
  const sentAtMs = Date.now();
  return new Promise((resolve) => {
    const seen = { id, sentAtMs, status: 0, body: "", isComplete: false, retryAfter: null };
    const finish = (error) => {
      clearTimeout(timer);
      if (error) request.destroy();
      resolve({ ...seen, elapsedMs: Date.now() - sentAtMs, ...(error ? { error } : {}) });
    };
    const timer = setTimeout(() => finish("time limit"), timeLeftMs);
    const request = http.request({
      ...{ host: gateway.ip, port: gateway.callersPort, method, path, agent },
      headers: {
        ...{ Host: HOST, "X-Attempt-Id": id, "X-Deadline-Ms": String(timeLeftMs) },
        ...{ "X-Key": API_KEY, ...headers },
        ...(method === "GET" ? {} : { "Content-Length": Buffer.byteLength(body) }),
      },
    });
    request.once("error", (error) => finish(error.code ?? error.message));
    request.once("response", (answer) => {
      seen.status = answer.statusCode;
      seen.retryAfter = answer.headers["retry-after"] ?? null;
      seen.signature = answer.headers["x-engine-signature"] ?? null;
      answer.on("data", (chunk) => (seen.body += chunk));
      answer.once("error", () => undefined);
      answer.once("close", () => {
        seen.isComplete = answer.complete;
        finish();
      });
    });
    request.end(method === "GET" ? undefined : body);
  });
}
