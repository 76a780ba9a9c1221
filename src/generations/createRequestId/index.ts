import * as crypto from "node:crypto";

import * as uuid from "uuid";

import type * as randoms from "../../_lib/random/index.js";

/** Hexadecimal digits of each VM hint in a request id. */
const HINT_DIGITS = 6;

const RANDOM_BYTES_COUNT = 16;
const BYTE_RANGE = 256;

const ID_PATTERN = /^[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}\.([0-9a-f]{6})([0-9a-f]{6})$/;

/** Inputs of a request id. */
export interface RequestIdOptions {
  readonly wallTimeMs: number;
  readonly random: randoms.RandomSource;
  readonly ownerVm: string;
  readonly standbyVm: string | null;
}

/** Hashed names of a request's owner and standby, by which it is located without a broadcast. */
export interface RequestHints {
  readonly ownerHint: string;
  readonly standbyHint: string;
}

/**
 * Creates the id of a request: a version 7 UUID, followed by hints of its owner and its standby, so
 * that any VM to which the caller reconnects can locate the request without querying all VMs.
 */
export function createRequestId(options: RequestIdOptions): string {
  const random = Uint8Array.from({ length: RANDOM_BYTES_COUNT }, () =>
    Math.floor(options.random.next() * BYTE_RANGE),
  );
  const id = uuid.v7({ msecs: options.wallTimeMs, random });
  return `${id}.${computeVmHint(options.ownerVm)}${computeVmHint(options.standbyVm ?? options.ownerVm)}`;
}

/** Reads the hints in a request id; null if the id has none. */
export function parseRequestHints(requestId: string): RequestHints | null {
  const match = ID_PATTERN.exec(requestId);
  const [, ownerHint, standbyHint] = match ?? [];
  if (ownerHint === undefined || standbyHint === undefined) return null;
  return { ownerHint, standbyHint };
}

/** Hashes a VM's name to a short hint. Two VMs with equal hints cost one additional query. */
export function computeVmHint(vmName: string): string {
  return crypto.createHash("sha1").update(vmName).digest("hex").slice(0, HINT_DIGITS);
}
