import * as crypto from "node:crypto";

import * as uuid from "uuid";

import type * as randoms from "../../_lib/random/index.js";

/** Hexadecimal digits of each VM hint in a request id. */
const HINT_DIGITS = 6;

const RANDOM_BYTES_COUNT = 16;
const BYTE_RANGE = 256;

const ID_PATTERN = /^[0-9a-f]{8}(?:-[0-9a-f]{4}){3}-[0-9a-f]{12}\.([0-9a-f]{6})([0-9a-f]{6})$/;

/** What an id is made from. */
export interface RequestIdOptions {
  readonly wallTimeMs: number;
  readonly random: randoms.RandomSource;
  readonly ownerVm: string;
  readonly keeperVm: string | null;
}

/** VMs at which a request was accepted, as hints that need no broadcast. */
export interface RequestHints {
  readonly ownerHint: string;
  readonly keeperHint: string;
}

/**
 * Makes the id of a request: a version 7 UUID, followed by hints of the two VMs that hold it,
 * so that a caller who comes back at any VM is found without asking all of them.
 */
export function createRequestId(options: RequestIdOptions): string {
  const random = Uint8Array.from({ length: RANDOM_BYTES_COUNT }, () =>
    Math.floor(options.random.next() * BYTE_RANGE),
  );
  const id = uuid.v7({ msecs: options.wallTimeMs, random });
  return `${id}.${vmHint(options.ownerVm)}${vmHint(options.keeperVm ?? options.ownerVm)}`;
}

/** The hints in a request id; null where the id has none. */
export function parseRequestHints(requestId: string): RequestHints | null {
  const match = ID_PATTERN.exec(requestId);
  const [, ownerHint, keeperHint] = match ?? [];
  if (ownerHint === undefined || keeperHint === undefined) return null;
  return { ownerHint, keeperHint };
}

/** Short hash of a VM's name; equal hints of two VMs cost one question too many. */
export function vmHint(vmName: string): string {
  return crypto.createHash("sha1").update(vmName).digest("hex").slice(0, HINT_DIGITS);
}
