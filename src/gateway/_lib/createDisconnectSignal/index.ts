import type * as http from "node:http";

/** Creates a signal that is aborted if the caller's connection closes before the answer is sent. */
export function createDisconnectSignal(response: http.ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
