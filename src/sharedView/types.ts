import type * as neverthrow from "neverthrow";

/** The topics of the platform's store that every VM follows. */
export enum Topic {
  Configuration = "configuration",
  Servers = "servers",
}

/** All topics, in the order in which messages between VMs name them. */
export const TOPICS: readonly Topic[] = [Topic.Configuration, Topic.Servers];

/** The newest record of a key; null where the key was dropped. */
export interface ViewRecord {
  readonly key: string;
  readonly offset: number;
  readonly value: Buffer | null;
}

/** Records of a topic, and the offset that follows the last one. */
export interface RecordBatch {
  readonly records: readonly ViewRecord[];
  readonly endOffset: number;
}

/** Why the store did not answer as asked. */
export enum StoreFailure {
  /** The records that were asked for were deleted. */
  Trimmed = "trimmed",
  /** It answered that it cannot serve. */
  Refused = "refused",
  /** No answer came, or none that can be read. */
  NoAnswer = "no-answer",
}

/** The platform's store as the view uses it. */
export interface ViewStore {
  /** The newest record of each key. */
  readNewest(topic: Topic): Promise<neverthrow.Result<RecordBatch, StoreFailure>>;
  /**
   * Records from an offset on.
   *
   * @param waitMs - how long the store may wait for the first one
   */
  readFrom(
    topic: Topic,
    offset: number,
    waitMs: number,
  ): Promise<neverthrow.Result<RecordBatch, StoreFailure>>;
}

/** A VM's address as it stands in the store. */
export interface VmAddress {
  readonly vmName: string;
  readonly host: string;
  readonly port: number;
}

/** The list of VMs that the fleet keeps in the store. */
export interface VmRegistry {
  announce(self: VmAddress): Promise<neverthrow.Result<null, StoreFailure>>;
  withdraw(vmName: string): Promise<neverthrow.Result<null, StoreFailure>>;
  list(): Promise<neverthrow.Result<readonly VmAddress[], StoreFailure>>;
}

/** Who a VM is to its peers. */
export interface MeshIdentity extends VmAddress {
  readonly dataCentre: string;
  /** Share of a core that the VM has; larger VMs read the store for the others. */
  readonly coresCount: number;
  /** Wall time of the process's start; tells two processes of one VM apart. */
  readonly startedAtWallMs: number;
}

/** A VM that was heard from. */
export interface Peer extends MeshIdentity {
  readonly heardAtMs: number;
  readonly reachesStore: boolean;
  /** Whether it beats for all, and all for it. */
  readonly isAnchor: boolean;
}
