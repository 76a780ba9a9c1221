import * as crypto from "node:crypto";

import * as types from "../types.js";

/** Longest identifier of a prompt part that is used as it is; longer ones are hashed. */
const MAX_PLAIN_ID_CHARS = 64;

/**
 * Lists what an attempt may have in common with others that made a server crash: the request and the
 * parts of its prompt. The last part is omitted, as it belongs to the request alone.
 *
 * @param fingerprint - equal for all attempts of the request
 * @param promptPartIds - ids of the parts of the prompt, in order; empty for other requests
 */
export function listSuspects(
  fingerprint: string,
  promptPartIds: readonly string[],
): readonly types.Suspect[] {
  const partIds = new Set(promptPartIds.slice(0, -1));
  return [
    { kind: types.SuspectKind.Request, key: fingerprint },
    ...[...partIds].map((id) => ({ kind: types.SuspectKind.PromptPart, key: shorten(id) })),
  ];
}

function shorten(id: string): string {
  if (id.length <= MAX_PLAIN_ID_CHARS) return id;
  return crypto.createHash("sha256").update(id).digest("base64url");
}
