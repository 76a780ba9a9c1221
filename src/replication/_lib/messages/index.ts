import * as zod from "zod";

import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";

const offset = zod.int().min(-1);

/** A record as peers carry it; its payload is checked by the stream's own rules. */
const record = zod.object({
  offset: zod.int().min(0),
  appendedAtWallMs: zod.number(),
  payload: zod.unknown(),
});

/** Consecutive records with the highest offset that the sender knows. */
export const recordBatch = zod.object({
  records: zod.array(record).max(constants.RECORDS_PER_MESSAGE),
  knownOffset: offset,
});

/** A question for records. */
export const catchUpQuestion = zod.object({ fromOffset: zod.int().min(0) });

/** The answer; `lowestOffset` is the first that the peer still holds in memory. */
export const catchUpAnswer = recordBatch.extend({ lowestOffset: zod.int().min(0) });

/** A question for one part of a peer's state; null asks for its newest. */
export const partQuestion = zod.object({
  coveredOffset: offset.nullable(),
  index: zod.int().min(0),
});

/** Where a peer stands. */
export const peerStatus = zod.object({ appliedOffset: offset, isReady: zod.boolean() });

export type CatchUpAnswer = zod.infer<typeof catchUpAnswer>;

/** Names of the methods between followers of one stream. */
export function methodNames(stream: platform.LogStream): Readonly<{
  records: string;
  catchUp: string;
  part: string;
  status: string;
}> {
  return {
    records: `replication.${stream}.records`,
    catchUp: `replication.${stream}.catchUp`,
    part: `replication.${stream}.part`,
    status: `replication.${stream}.status`,
  };
}
