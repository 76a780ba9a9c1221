import type * as neverthrow from "neverthrow";

import type * as serverLinks from "../serverLinks/index.js";
import type * as recordRooms from "./recordRoom/index.js";

/** The topics of the platform's store of which every VM keeps a replica. */
export enum Topic {
  Configuration = "configuration",
  Servers = "servers",
}

/** All topics; messages between VMs refer to a topic by its index here. */
export const TOPICS: readonly Topic[] = [Topic.Configuration, Topic.Servers];

/** The newest record of a key; its value is null if the key was deleted. */
export interface ViewRecord {
  readonly key: string;
  readonly offset: number;
  readonly value: Buffer | null;
}

/** A position in a topic's log. */
export interface LogPosition {
  /** How often the store has been restored from a copy; offsets of two epochs are unrelated. */
  readonly epoch: number;
  /** The offset after the last record. */
  readonly endOffset: number;
}

/** Records of further keys that are not kept, as their topic has its largest size. */
export interface LeftOutRecords {
  /** The first record that was left out, without its value. */
  readonly first: ViewRecord;
  readonly recordsCount: number;
}

/** Records of a topic, and the position after the last one. */
export interface RecordBatch extends LogPosition {
  readonly records: readonly ViewRecord[];
  /** Records of the listing that were left out for lack of room; absent if none were. */
  readonly leftOut?: LeftOutRecords | null;
}

/** Records that the store returned for a read; it may have more than one answer holds. */
export interface ReadBatch extends RecordBatch {
  /** The offset at which the topic ended when the store answered; not before the batch's end. */
  readonly topicEndOffset: number;
}

/** How far a replica has got, as VMs tell each other. */
export interface ReplicaState extends LogPosition {
  /** Revision of the replica's retained record; 0 if there is none. */
  readonly revision: number;
}

/** A replica of a whole topic, as sent to a peer. */
export interface ReplicaSnapshot extends RecordBatch {
  /** The retained record, which may be one of the records. */
  readonly retained: ViewRecord | null;
}

/** Why a call to the store failed. */
export enum StoreFailure {
  /** The requested records are no longer retained. */
  Trimmed = "trimmed",
  /** The store answered that it cannot serve the request. */
  Refused = "refused",
  /** No answer arrived, or it could not be decoded. */
  NoAnswer = "no-answer",
}

/** The operations of the platform's store that the shared view needs. */
export interface ViewStore {
  /**
   * Reads the newest record of each key, and the topic's end offset.
   *
   * @param createRoom - decides which records are read into memory; called once for each attempt
   */
  readNewest(
    topic: Topic,
    createRoom?: () => recordRooms.RecordRoom,
  ): Promise<neverthrow.Result<RecordBatch, StoreFailure>>;
  /**
   * Reads the records from an offset on, as many as fit one answer.
   *
   * @param waitMs - longest time for which the store waits for a first record
   */
  readFrom(
    topic: Topic,
    offset: number,
    waitMs: number,
  ): Promise<neverthrow.Result<ReadBatch, StoreFailure>>;
}

/** The name and network address of a VM. */
export interface VmAddress {
  readonly vmName: string;
  readonly host: string;
  readonly port: number;
}

/** The fleet's list of VM addresses, kept in the store. */
export interface VmRegistry {
  /** Adds a VM, or updates its address. */
  announce(self: VmAddress): Promise<neverthrow.Result<null, StoreFailure>>;
  /** Removes a VM. */
  withdraw(vmName: string): Promise<neverthrow.Result<null, StoreFailure>>;
  /** Lists the registered VMs. */
  list(): Promise<neverthrow.Result<readonly VmAddress[], StoreFailure>>;
}

/** A VM's properties that do not change while its process runs, as sent to its peers. */
export interface MeshIdentity extends VmAddress {
  readonly dataCentre: string;
  /** CPU cores of the VM, fractions included; larger VMs read the store for the others. */
  readonly coresCount: number;
  /** Wall-clock time of the process's start; distinguishes two processes of one VM. */
  readonly startedAtWallMs: number;
}

/** A VM from which a heartbeat was received. */
export interface Peer extends MeshIdentity {
  readonly lastHeartbeatAtMs: number;
  /** Whether the store answered the VM's last calls. */
  readonly reachesStore: boolean;
  /** What the VM has seen of its own links to the backend servers lately. */
  readonly linkState: serverLinks.LinkState;
  /** Whether the VM exchanges heartbeats with the whole fleet in every round. */
  readonly isHub: boolean;
}
