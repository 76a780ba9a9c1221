import type * as servers from "../servers/index.js";

/** What requests can have in common that makes servers crash. */
export enum SuspectKind {
  PromptPart = "prompt-part",
}

/** Something that several requests can have in common and that may make servers crash. */
export interface Suspect {
  readonly kind: SuspectKind;
  /** Equal for equal suspects at all VMs. */
  readonly key: string;
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
