import * as crypto from "node:crypto";
import * as zlib from "node:zlib";

import * as msgpackr from "msgpackr";
import * as zod from "zod";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";

/** Largest decompressed part; a larger one makes the snapshot invalid. */
const MAX_PART_BYTES = 16 * 1024 * 1024;

const snapshotPart = zod.object({
  type: zod.literal("snapshot"),
  snapshotId: zod.string().min(1).max(200),
  coveredOffset: zod.int().min(-1),
  index: zod.int().min(0),
  count: zod.int().min(1).max(constants.MAX_SNAPSHOT_PARTS),
  hash: zod.string().length(64),
  data: zod.string(),
});

const codec = new msgpackr.Packr({ useRecords: false });

/**
 * Encodes one part of a state: MessagePack, compressed and base64-encoded. It blocks the event loop,
 * so the caller yields between parts.
 */
export function packPart(part: unknown): string {
  return zlib.deflateSync(codec.pack(part)).toString("base64");
}

/** Creates a snapshot's records from its packed parts. */
export function assembleSnapshot(
  snapshotId: string,
  coveredOffset: number,
  packedParts: readonly string[],
): types.SnapshotPart[] {
  const hash = hashParts(packedParts);
  const count = packedParts.length;
  return packedParts.map((data, index) => ({
    type: "snapshot",
    snapshotId,
    coveredOffset,
    index,
    count,
    hash,
    data,
  }));
}

/** Parses a record's payload as a snapshot part; null if it is not one. */
export function parseSnapshotPart(payload: unknown): types.SnapshotPart | null {
  const parsed = snapshotPart.safeParse(payload);
  return parsed.success && parsed.data.index < parsed.data.count ? parsed.data : null;
}

/** Unpacks all parts of a snapshot; null if the count or hash does not match, or a part is invalid. */
export function unpackParts(parts: readonly types.SnapshotPart[]): unknown[] | null {
  const first = parts[0];
  if (first?.count !== parts.length) return null;
  if (hashParts(parts.map((part) => part.data)) !== first.hash) return null;
  try {
    return parts.map((part) => unpackPart(part.data));
  } catch {
    return null;
  }
}

/** Collects the parts of snapshots, in any order, until one is complete. */
export class SnapshotCollector {
  private readonly bySnapshotId = new Map<string, Map<number, types.SnapshotPart>>();

  /** Adds a part; returns all parts in order if the snapshot is now complete, else null. */
  add(part: types.SnapshotPart): types.SnapshotPart[] | null {
    const parts = this.bySnapshotId.get(part.snapshotId) ?? new Map<number, types.SnapshotPart>();
    const sample: types.SnapshotPart = parts.values().next().value ?? part;
    if (sample.count !== part.count || sample.hash !== part.hash) return null;
    if (sample.coveredOffset !== part.coveredOffset) return null;
    parts.set(part.index, part);
    this.bySnapshotId.set(part.snapshotId, parts);
    if (parts.size < part.count) return null;
    this.bySnapshotId.delete(part.snapshotId);
    return [...parts.values()].sort((left, right) => left.index - right.index);
  }

  /** Drops incomplete snapshots that cover less than an offset. */
  dropBelow(coveredOffset: number): void {
    for (const [snapshotId, parts] of this.bySnapshotId) {
      const sample = parts.values().next().value;
      if (sample === undefined || sample.coveredOffset < coveredOffset) {
        this.bySnapshotId.delete(snapshotId);
      }
    }
  }
}

function unpackPart(data: string): unknown {
  const packed = zlib.inflateSync(Buffer.from(data, "base64"), { maxOutputLength: MAX_PART_BYTES });
  return codec.unpack(packed) as unknown;
}

function hashParts(packedParts: readonly string[]): string {
  const hash = crypto.createHash("sha256");
  for (const data of packedParts) hash.update(`${data.length}:`).update(data);
  return hash.digest("hex");
}
