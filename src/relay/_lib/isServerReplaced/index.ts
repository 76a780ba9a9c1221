import type * as servers from "../../../servers/index.js";
import type * as types from "../../types.js";

/**
 * Whether the answer shows that another server now has the address of the one that a call was sent to. A server
 * also rejects a call as misdirected if the call expects a version of the model's weights that it does not have.
 */
export function isServerReplaced(
  { head: { expectsVersion } }: types.Call,
  { id }: Pick<servers.ServerEntry, "id">,
  { isMisdirected, serverId }: Pick<types.AnswerHead, "isMisdirected" | "serverId">,
): boolean {
  if (!isMisdirected) return false;
  return serverId === null ? !expectsVersion : serverId !== id;
}
