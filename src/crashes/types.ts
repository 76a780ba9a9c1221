import type * as neverthrow from "neverthrow";

import type * as servers from "../servers/index.js";

/** What requests can have in common that makes servers crash. */
export enum SuspectKind {
  PromptPart = "prompt-part",
  /** The whole request, whatever its attempt. */
  Request = "request",
}

/** Something that several requests can have in common and that may make servers crash. */
export interface Suspect {
  readonly kind: SuspectKind;
  /** Equal for equal suspects at all VMs. */
  readonly key: string;
}

/** The end of a server under work that had begun on it. */
export interface ServerEnd {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** The VM that observed the end. */
  readonly vmName: string;
  /** When the work was sent to the server, on this VM's monotonic clock. */
  readonly sentAtMs: number;
  /** On this VM's monotonic clock. */
  readonly endedAtMs: number;
}

/** The end of a server, as VMs tell each other. */
export interface ReportedEnd extends Omit<ServerEnd, "endedAtMs" | "sentAtMs"> {
  readonly ageMs: number;
  /** Time from the sending of the work to the end. */
  readonly ranMs: number;
}

/** What a VM knows of a suspect, as it tells its peers; times are ages, as clocks differ. */
export interface SuspectReport extends Suspect {
  /** Time since a run with the suspect survived; null if none did. */
  readonly clearedAgeMs: number | null;
  /** Time since the start of the last trial; null if there was none. */
  readonly trialAgeMs: number | null;
  readonly ends: readonly ReportedEnd[];
}

/** Why work must not be sent to any server. */
export interface Blame {
  readonly suspect: Suspect;
  readonly endsCount: number;
  /** Time until the work may be tried again. */
  readonly retryAfterMs: number;
}

/** Work that is sent to a server. */
export interface Work {
  readonly requestId: string;
  readonly suspects: readonly Suspect[];
}

/** Whether a process listens at an address. */
export enum ListenerState {
  Listens = "listens",
  /** The host answers that no process listens. */
  Refuses = "refuses",
  /** No answer arrived in time, as when the network is partitioned or the host is down. */
  Silent = "silent",
}

/** One start of a server. */
export type ServerStart = Pick<
  servers.ServerEntry,
  "id" | "bornAtWallMs" | "serviceName" | "host" | "port"
>;

/** A suspect as the archive holds it, and when it was saved. */
export interface ArchivedSuspect {
  readonly report: SuspectReport;
  readonly savedAtWallMs: number;
}

/** A change of the archive. */
export interface ArchiveChange {
  readonly suspect: Suspect;
  /** What replaces the suspect's entry; null removes it. */
  readonly saved: ArchivedSuspect | null;
}

/** Keeps blamed suspects beyond the end of all VMs. */
export interface SuspectArchive {
  /** Lists the suspects that were saved and not removed. */
  load(): Promise<neverthrow.Result<readonly ArchivedSuspect[], string>>;
  /** Makes all of the changes, or none. */
  write(changes: readonly ArchiveChange[]): Promise<neverthrow.Result<null, string>>;
}
