import * as crypto from "node:crypto";

import * as uuid from "uuid";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Identity of a once-only call in the log. */
export interface KeyIdentity {
  /** Hash of the account, the entry and the caller's key. */
  readonly keyId: string;
  /** Hash of content type and body; a call with the same key and another hash is refused. */
  readonly bodyHash: string;
  /** Creation time carried by the key itself; null for a key without a timestamp. */
  readonly keyTimeMs: number | null;
}

const TIMESTAMPED_UUID_VERSION = 7;
const TIMESTAMP_HEX_DIGITS = 12;

/**
 * Computes the identity of a key. It includes the account and the entry, so that equal keys of
 * different accounts or entries are distinct.
 */
export function identifyKey(request: types.CallRequest, key: string): KeyIdentity {
  const scope = JSON.stringify([request.accountName, request.entry.name, key]);
  const digest = crypto.createHash("sha256").update(scope).digest();
  const body = crypto.createHash("sha256").update(request.contentType).update("\0");
  return {
    keyId: digest.subarray(0, constants.KEY_ID_BYTES).toString("base64url"),
    bodyHash: body.update(request.body).digest("base64url"),
    keyTimeMs: parseKeyTime(key),
  };
}

/** Returns the timestamp of a version 7 UUID; null for any other key. */
function parseKeyTime(key: string): number | null {
  if (!uuid.validate(key) || uuid.version(key) !== TIMESTAMPED_UUID_VERSION) return null;
  return Number.parseInt(key.replaceAll("-", "").slice(0, TIMESTAMP_HEX_DIGITS), 16);
}
