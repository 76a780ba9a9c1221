// A stand-in for a client: one attempt, on a new channel or on a kept one.
import http from "node:http";

/** A client abandons a stream after a gap of two seconds, four times the objective or eight times the pause. */
export function abandonGapMs({ target_latency_ms, target_gap_ms }) {
  return Math.max(2_000, 4 * target_latency_ms, 8 * target_gap_ms);
}

let attemptsCount = 0;

/** A client that keeps its channels open for many requests. */
export function createAgent() {
  return new http.Agent({ keepAlive: true, maxSockets: Infinity });
}

/** Sends one attempt and resolves with what its client saw, whatever that is. */
export function sendAttempt(scene, gateway, options) {
  const { method = "GET", path, host, key, deadlineMs, body = "", headers = {}, agent } = options;
  const { gapMs = Infinity } = options;
  attemptsCount += 1;
  const id = options.id ?? `a${String(attemptsCount).padStart(4, "0")}`;
  const sentAtMs = Date.now();
  scene.record.write("client", `sends ${id} ${method} ${path} to ${gateway.name}`);
  return new Promise((resolve) => {
    let eventsCount = 0;
    let isFinished = false;
    const finish = (seen) => {
      if (isFinished) return;
      isFinished = true;
      clearTimeout(timer);
      clearInterval(watch);
      const elapsedMs = Date.now() - sentAtMs;
      const isKept = request.reusedSocket;
      const result = {
        id,
        gateway: gateway.name,
        isKept,
        sentAtMs,
        elapsedMs,
        eventsCount,
        ...seen,
      };
      const end = seen.isComplete ? "complete" : "not complete";
      const what =
        seen.status === null ? `no answer, channel ${seen.cause}` : `${seen.status}, ${end}`;
      scene.record.write(
        "client",
        `${id} gets ${what}, ${eventsCount} events, after ${elapsedMs} ms`,
      );
      resolve(result);
    };
    const request = http.request({
      host: gateway.host,
      port: gateway.ports.frontend,
      method,
      path,
      agent: agent ?? false,
      headers: {
        Host: host,
        "X-Attempt-Id": id,
        "X-Deadline-Ms": String(deadlineMs),
        ...(key === undefined ? {} : { "X-Key": key }),
        ...(body === "" ? {} : { "Content-Length": Buffer.byteLength(body) }),
        ...headers,
      },
    });
    const giveUp = (cause) => {
      request.destroy();
      finish({ status: null, cause, isComplete: false, gaveUp: true });
    };
    const timer = setTimeout(() => giveUp("given up at the time limit"), deadlineMs);
    let lastEventAtMs = sentAtMs;
    const watch = setInterval(() => {
      if (Date.now() - lastEventAtMs > gapMs) giveUp("abandoned after a gap");
    }, 50);
    request.on("error", ({ code, message }) => {
      finish({ status: null, cause: code ?? message, isComplete: false });
    });
    request.on("response", (response) => {
      const chunks = [];
      response.on("data", (chunk) => {
        chunks.push(chunk);
        lastEventAtMs = Date.now();
        eventsCount += chunk.toString("latin1").split("\n\n").length - 1;
      });
      response.on("error", () => undefined);
      response.on("close", () => {
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isComplete: response.complete,
        });
      });
    });
    request.end(body);
  });
}
