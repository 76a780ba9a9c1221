/** Who a VM is, as its settings say. */
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

/** What this VM believes about another one. */
export enum MemberState {
  Live = "live",
  Suspect = "suspect",
  Leaving = "leaving",
  Dead = "dead",
}

/** A member of the fleet as this VM sees it. */
export interface VmMember extends VmIdentity {
  readonly state: MemberState;
  /** Raised by the VM itself each time it starts or refutes a suspicion. */
  readonly incarnation: number;
}

/** The fleet as other aggregates see it. */
export interface FleetView {
  readonly self: VmIdentity;
  /** All known members, this VM included. */
  members(): readonly VmMember[];
  onChange(listener: () => void): Disposable;
}

/** What a lease is for. */
export enum LeasePurpose {
  Placement = "placement",
}

/** A lease held through the log; its offset is its fencing number. */
export interface Lease {
  readonly purpose: LeasePurpose;
  readonly scope: string;
  readonly holder: string;
  readonly fencingNumber: number;
  readonly expiresAtMs: number;
}

/** Sends and receives datagrams; UDP in the daemon, memory in tests. */
export interface DatagramSocket extends AsyncDisposable {
  /** Sends without waiting; a datagram may be lost. */
  send(bytes: Uint8Array, address: string, port: number): void;
  onMessage(listener: (bytes: Uint8Array, address: string, port: number) => void): Disposable;
}

/** How a VM takes part in the fleet's membership. */
export interface MembershipOptions {
  readonly self: VmIdentity;
  /** Secret that all VMs of the fleet share. */
  readonly fleetKey: string;
  /** Interval between heartbeats to partners in the own data centre. */
  readonly heartbeatIntervalMs: number;
  /** Time a partner has to answer before others are asked to try it. */
  readonly ackTimeoutMs: number;
  /** Time between suspicion and death. */
  readonly suspicionMs: number;
  /** Interval between a relay's heartbeats to other data centres. */
  readonly relayIntervalMs: number;
  /** Time without contact after which a data centre counts as cut off, and more per data centre. */
  readonly dataCentreSilenceMs: number;
  readonly dataCentreSilencePerDataCentreMs: number;
  /** Interval at which the platform's list is read. */
  readonly listIntervalMs: number;
  /** A process that stood still for longer takes up no role before it has heard from others. */
  readonly pauseThresholdMs: number;
  /** How long a VM that starts or returns waits for others before it goes on alone. */
  readonly joinTimeoutMs: number;
  /** How long dead members are remembered. */
  readonly deadRetentionMs: number;
}

/** How leases are held. */
export interface LeaseOptions {
  readonly vmName: string;
  /** How long a lease lasts without being renewed, counted by its holder's own clocks. */
  readonly termMs: number;
  readonly renewIntervalMs: number;
  /**
   * What a successor waits beyond the term: the difference in speed of two clocks over a term,
   * and the time that an order may be on its way to a server that does not check its number.
   */
  readonly marginMs: number;
  /** Interval at which a candidate or a holder without an answer reads the log again. */
  readonly retryIntervalMs: number;
}

/** Whether a lease is still held and will be for a time to come, by this VM's own clocks. */
export type IsStillHeld = (neededMs?: number) => boolean;

/** Work done while a lease is held; the signal is aborted when the lease is lost. */
export type LeaseWork<T> = (
  fencingNumber: number,
  isStillHeld: IsStillHeld,
  signal: AbortSignal,
) => Promise<T>;

/** How a lease is asked for. */
export interface LeaseRequestOptions {
  readonly purpose?: LeasePurpose;
  /** How long to wait for another holder's lease to end; 0 does not wait. */
  readonly waitMs?: number;
}
