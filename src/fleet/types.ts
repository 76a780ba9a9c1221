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
