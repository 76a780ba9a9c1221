import type * as http from "node:http";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as headBytes from "../measureHeadBytes/index.js";

/** Memory of a call besides its head: its connections, timers and objects. */
const CALL_BYTES = 24 * 1024;

/** Estimated heap bytes for each byte of a request head: raw bytes, parsed strings and the headers passed on. */
const HEAD_BYTES_RATIO = 12;

/** Counts the memory of a call until its answer has ended; it stays counted, as its caller is owed an answer. */
export function countCall(
  bytes: byteBudgets.ByteBudget,
  request: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  const reservation = bytes.open({ holder: byteBudgets.ByteHolder.Calls });
  response.once("close", () => reservation[Symbol.dispose]());
  reservation.grow(CALL_BYTES + HEAD_BYTES_RATIO * headBytes.measureHeadBytes(request));
}
