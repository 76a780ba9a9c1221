import * as persistentMap from "../../_lib/persistentMap/index.js";
import type * as types from "../types.js";

/** Creates the state before the first record, without any keys. */
export function createCallsState(): types.CallsState {
  return { appliedOffset: -1, logTimeMs: 0, keys: persistentMap.PersistentMap.empty() };
}
