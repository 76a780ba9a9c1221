/** A VM's name, location and addresses, from its settings. */
export interface VmIdentity {
  readonly name: string;
  readonly region: string;
  readonly dataCentre: string;
  /** IP address and port on which peers reach it over TCP. */
  readonly peerAddress: string;
  readonly peerPort: number;
  /** UDP port for heartbeats. */
  readonly heartbeatPort: number;
}

/** The state of a member. */
export enum MemberState {
  Live = "live",
  /**
   * It does not answer, or its data centre cannot be reached. In its own view: it has received no
   * answer since it started or was paused.
   */
  Suspect = "suspect",
  /** It takes no new work, since it will stop. */
  Leaving = "leaving",
  /** It counts as stopped, and is removed after the retention time. */
  Dead = "dead",
}

/** A member of the fleet as this VM sees it. */
export interface VmMember extends VmIdentity {
  readonly state: MemberState;
  /** Number that the VM itself raises when it starts, leaves, or refutes a suspicion. */
  readonly incarnation: number;
}

/** Read access to the fleet's membership, for other modules. */
export interface FleetView {
  readonly self: VmIdentity;
  /** All known members, including this VM. */
  members(): readonly VmMember[];
  /** Calls the listener after each change of the members, until disposed. */
  onChange(listener: () => void): Disposable;
}

/** The purpose of a lease. */
export enum LeasePurpose {
  /** To plan which models the engines of a data centre load. */
  Placement = "placement",
}

/** A lease held through the log; the offset of its acquisition record is its fencing number. */
export interface Lease {
  readonly purpose: LeasePurpose;
  /** The resource that the lease covers, e.g. a data centre. */
  readonly scope: string;
  /** Name of the VM that holds the lease. */
  readonly holder: string;
  readonly fencingNumber: number;
  readonly expiresAtMs: number;
}

/** Sends and receives datagrams; over UDP in the daemon, in memory in tests. */
export interface DatagramSocket extends AsyncDisposable {
  /** Sends a datagram without waiting; it may be lost. */
  send(bytes: Uint8Array, address: string, port: number): void;
  /** Calls the listener for each received datagram, until disposed. */
  onMessage(listener: (bytes: Uint8Array, address: string, port: number) => void): Disposable;
}

/** Options of a VM's membership in the fleet. */
export interface MembershipOptions {
  readonly self: VmIdentity;
  /** Secret shared by all VMs of the fleet, which authenticates their heartbeats. */
  readonly fleetKey: string;
  /** Interval between heartbeats to members of the same data centre. */
  readonly heartbeatIntervalMs: number;
  /** Time within which a member must answer before others are asked to probe it. */
  readonly ackTimeoutMs: number;
  /** Time after which a suspect member is declared dead. */
  readonly suspicionMs: number;
  /** Interval between a relay's heartbeats to other data centres. */
  readonly relayIntervalMs: number;
  /** Base time without contact after which a data centre counts as partitioned. */
  readonly dataCentreSilenceMs: number;
  /** Added to that time for each data centre of the fleet. */
  readonly dataCentreSilencePerDataCentreMs: number;
  /** Interval at which the platform's list of VMs is read. */
  readonly listIntervalMs: number;
  /** After a longer process pause, the VM counts itself as suspect until another one answers. */
  readonly pauseThresholdMs: number;
  /** Time that a starting or resumed VM waits for an answer before it counts itself as live. */
  readonly joinTimeoutMs: number;
  /** Time after which dead members are removed. */
  readonly deadRetentionMs: number;
}

/** Options of holding leases. */
export interface LeaseOptions {
  readonly vmName: string;
  /** Duration of a lease after its last renewal, by its holder's own clocks. */
  readonly termMs: number;
  /** Interval at which the holder renews its lease. */
  readonly renewIntervalMs: number;
  /**
   * Time that a successor waits beyond the term. It covers the drift between two clocks over a
   * term, and the time that an order may be in transit to a server that checks no fencing number.
   */
  readonly marginMs: number;
  /** Interval at which a candidate, or a holder whose call failed, retries. */
  readonly retryIntervalMs: number;
}

/** Whether a lease is held now and for `neededMs` to come, by this VM's own clocks. */
export type IsStillHeld = (neededMs?: number) => boolean;

/** Work that runs while a lease is held; the signal is aborted when the lease is lost. */
export type LeaseWork<T> = (
  fencingNumber: number,
  isStillHeld: IsStillHeld,
  signal: AbortSignal,
) => Promise<T>;

/** Options of acquiring a lease. */
export interface LeaseRequestOptions {
  readonly purpose?: LeasePurpose;
  /** Longest time to wait for another holder's lease to end; 0 does not wait. */
  readonly waitMs?: number;
}
