import type * as types from "../types.js";

/**
 * Time for which a server is still cold by its last message, counted from when this VM received it. A
 * message that was late makes it longer than it is, never shorter.
 */
export function coldRemainingMs(
  { entry, receivedAtMs }: Pick<types.KnownServer, "entry" | "receivedAtMs">,
  nowMs: number,
): number {
  return Math.max(0, receivedAtMs + entry.coldRemainingMs - nowMs);
}
