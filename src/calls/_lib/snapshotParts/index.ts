import * as zod from "zod";

import * as persistentMap from "../../../_lib/persistentMap/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as callRecords from "../callRecords/index.js";

const keyState = zod.object({
  phase: zod.enum(types.KeyPhase),
  attempt: zod.string(),
  bodyHash: zod.string(),
  vm: zod.string(),
  changedAtWallMs: zod.number(),
  retentionMs: zod.number(),
  keyTimeMs: zod.number().nullable(),
  answer: callRecords.storedAnswer.nullable(),
  releasedAttempts: zod.array(zod.string()).readonly(),
});

const snapshotPart = zod.object({
  logTimeMs: zod.number(),
  keys: zod.array(zod.tuple([zod.string(), keyState])),
});

type SnapshotPart = zod.infer<typeof snapshotPart>;

/** Splits the state into snapshot parts with a bounded number of keys; yields at least one part. */
export function* encodeParts(state: types.CallsState): Iterable<SnapshotPart> {
  const { logTimeMs } = state;
  let keys: [string, types.KeyState][] = [];
  for (const entry of state.keys) {
    keys.push(entry);
    if (keys.length < constants.SNAPSHOT_KEYS_PER_PART) continue;
    yield { logTimeMs, keys };
    keys = [];
  }
  yield { logTimeMs, keys };
}

/** Restores the state from its snapshot parts; throws a ZodError if a part is malformed. */
export function decodeParts(coveredOffset: number, parts: readonly unknown[]): types.CallsState {
  const parsed = parts.map((part) => snapshotPart.parse(part));
  return {
    appliedOffset: coveredOffset,
    logTimeMs: Math.max(...parsed.map((part) => part.logTimeMs)),
    keys: persistentMap.PersistentMap.from(parsed.flatMap((part) => part.keys)),
  };
}
