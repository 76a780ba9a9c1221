import type * as http from "node:http";

import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";

/**
 * Discards the rest of a refused request, so that its caller can read the answer; closes the connection if it does
 * not end within `DISCARD_TIMEOUT_MS`.
 *
 * @returns resolves when the request has ended
 */
export function discardBody(clock: clocks.Clock, request: http.IncomingMessage): Promise<void> {
  if (request.complete || request.destroyed) {
    request.resume();
    return Promise.resolve();
  }
  return new Promise((resolve) => {
    const timer = clock.schedule(constants.DISCARD_TIMEOUT_MS, () => request.destroy());
    const finish = (): void => {
      timer[Symbol.dispose]();
      resolve();
    };
    request.once("end", finish);
    request.once("close", finish);
    request.resume();
  });
}
