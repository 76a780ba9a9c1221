import type * as servers from "../../../servers/index.js";
import type * as types from "../../types.js";

/**
 * Whether another server now has the address of the one that a call was sent to, by the answer. A server also turns
 * calls away as misdirected whose version of weights it does not have.
 */
export function isServerReplaced(
  { head: { expectsVersion } }: types.Call,
  { id }: Pick<servers.ServerEntry, "id">,
  { isMisdirected, serverId }: Pick<types.AnswerHead, "isMisdirected" | "serverId">,
): boolean {
  if (!isMisdirected) return false;
  return serverId === null ? !expectsVersion : serverId !== id;
}
