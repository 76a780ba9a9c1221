import * as crypto from "node:crypto";

import * as uuid from "uuid";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** A once-only call as the log knows it. */
export interface KeyIdentity {
  readonly keyId: string;
  /** Hash of what the caller sent; the same key with another one is refused. */
  readonly bodyHash: string;
  /** Time that the key itself carries; null where it carries none. */
  readonly keyTimeMs: number | null;
}

const VERSION_WITH_TIME = 7;
const TIME_HEX_DIGITS = 12;

/** Names a caller's key within its account and entry, so that others' equal keys stay apart. */
export function identifyKey(request: types.CallRequest, key: string): KeyIdentity {
  const scope = JSON.stringify([request.accountName, request.entry.name, key]);
  const digest = crypto.createHash("sha256").update(scope).digest();
  const body = crypto.createHash("sha256").update(request.contentType).update("\0");
  return {
    keyId: digest.subarray(0, constants.KEY_ID_BYTES).toString("base64url"),
    bodyHash: body.update(request.body).digest("base64url"),
    keyTimeMs: timeOf(key),
  };
}

/** The time in a version 7 UUID; other keys carry none. */
function timeOf(key: string): number | null {
  if (!uuid.validate(key) || uuid.version(key) !== VERSION_WITH_TIME) return null;
  return Number.parseInt(key.replaceAll("-", "").slice(0, TIME_HEX_DIGITS), 16);
}
