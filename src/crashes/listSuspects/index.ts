import * as crypto from "node:crypto";

import * as types from "../types.js";

/** Longest key that is used as it is; longer ones are hashed. */
const MAX_PLAIN_KEY_CHARS = 128;

/**
 * Lists what an attempt may have in common with others that made a server crash: the request and the
 * parts of its prompt. The last part is omitted, as it belongs to the request alone.
 *
 * @param fingerprint - equal for all attempts of the request
 * @param promptPartIds - ids of the parts of the prompt, in order; empty for other requests
 */
export function listSuspects(
  serviceName: string,
  fingerprint: string,
  promptPartIds: readonly string[],
): readonly types.Suspect[] {
  const partIds = new Set(promptPartIds.slice(0, -1));
  const createKey = (id: string): string => shorten(`${serviceName}/${id}`);
  return [
    { kind: types.SuspectKind.Request, key: createKey(fingerprint) },
    ...[...partIds].map((id) => ({ kind: types.SuspectKind.PromptPart, key: createKey(id) })),
  ];
}

function shorten(key: string): string {
  if (key.length <= MAX_PLAIN_KEY_CHARS) return key;
  return crypto.createHash("sha256").update(key).digest("base64url");
}
