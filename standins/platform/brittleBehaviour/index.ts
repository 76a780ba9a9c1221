import * as names from "../../../platform/names/index.js";
import * as backendServers from "../backendServer/index.js";

const { HEADERS } = names;

/** Capacity of a server that crashes when it rejects too many requests. */
export interface BrittleOptions {
  readonly slotsCount: number;
  readonly workMs: number;
  /** Time from a crash to the restart. */
  readonly downMs: number;
}

/**
 * Runs as many concurrent requests as there are slots and rejects the others; crashes when it has rejected
 * more in a second than its limit.
 */
export function createBrittleBehaviour(
  { slotsCount, workMs, downMs }: BrittleOptions,
  answerTo: (call: backendServers.ReceivedCall) => string = () => "done",
): backendServers.Behaviour {
  let runningCount = 0;
  let rejectedAtMs: number[] = [];
  return async (call, response, server) => {
    if (runningCount >= slotsCount) {
      const nowMs = performance.now();
      rejectedAtMs = [...rejectedAtMs.filter((atMs) => nowMs - atMs < 1_000), nowMs];
      if (rejectedAtMs.length > (server.maxRejectionsPerSecond ?? Infinity)) {
        rejectedAtMs = [];
        await server.crashAndRestart(downMs);
        return;
      }
      response.writeHead(503, { ...server.createAnswerHeaders(call), [HEADERS.notRun]: "1" }).end();
      return;
    }
    runningCount += 1;
    server.runs.push(call.id);
    await new Promise((resolve) => setTimeout(resolve, workMs));
    runningCount -= 1;
    if (!response.destroyed) backendServers.sendAnswer(answerTo(call), call, response, server);
  };
}
