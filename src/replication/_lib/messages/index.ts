import * as zod from "zod";

import type * as platform from "../../../controlPlane/types.js";
import * as constants from "../../constants.js";

const offset = zod.int().min(-1);

/** Schema of a record in a message; its payload is validated by the stream's rules. */
const record = zod.object({
  offset: zod.int().min(0),
  appendedAtWallMs: zod.number(),
  payload: zod.unknown(),
});

/** Schema of a batch of consecutive records, with the highest offset known to the sender. */
export const recordBatch = zod.object({
  records: zod.array(record).max(constants.RECORDS_PER_MESSAGE),
  knownOffset: offset,
});

/** Schema of a request for records. */
export const catchUpRequest = zod.object({ fromOffset: zod.int().min(0) });

/** Schema of the answer to a request for records; `lowestOffset` is the lowest in the peer's memory. */
export const catchUpAnswer = recordBatch.extend({ lowestOffset: zod.int().min(0) });

/** Schema of a request for one part of a peer's state; a null offset requests its current snapshot. */
export const partRequest = zod.object({
  coveredOffset: offset.nullable(),
  index: zod.int().min(0),
});

/** Schema of a peer's status. */
export const peerStatus = zod.object({ appliedOffset: offset, isReady: zod.boolean() });

/** Answer to a request for records. */
export type CatchUpAnswer = zod.infer<typeof catchUpAnswer>;

/** Returns the names of the peer methods of one stream's followers. */
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
