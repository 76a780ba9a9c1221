import * as neverthrow from "neverthrow";

import type * as crashes from "../../src/crashes/index.js";

/** An archive of suspects in memory, which can fail. */
export class MemoryArchive implements crashes.SuspectArchive {
  readonly suspects = new Map<string, crashes.ArchivedSuspect>();
  isReachable = true;

  load(): ReturnType<crashes.SuspectArchive["load"]> {
    if (!this.isReachable) return Promise.resolve(neverthrow.err("unreachable"));
    return Promise.resolve(neverthrow.ok([...this.suspects.values()]));
  }

  write(changes: readonly crashes.ArchiveChange[]): ReturnType<crashes.SuspectArchive["write"]> {
    if (!this.isReachable) return Promise.resolve(neverthrow.err("unreachable"));
    for (const { suspect, saved } of changes) {
      if (saved === null) this.suspects.delete(suspect.key);
      else this.suspects.set(suspect.key, saved);
    }
    return Promise.resolve(neverthrow.ok(null));
  }
}
