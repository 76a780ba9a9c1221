import * as names from "../../../platform/names/index.js";
import * as backendServers from "../backendServer/index.js";

const { HEADERS } = names;

/** Work of a server that ends when it has to reject too much. */
export interface BrittleWork {
  readonly slotsCount: number;
  readonly workMs: number;
  /** Time for which the server is away after it has ended. */
  readonly downMs: number;
}

/**
 * Runs as many requests at a time as there are slots and rejects the others; ends when it has rejected more
 * in a second than it says it can.
 */
export function workBrittly(
  { slotsCount, workMs, downMs }: BrittleWork,
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
        await server.fall(downMs);
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
