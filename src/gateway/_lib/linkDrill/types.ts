/** What becomes of connections between a VM that is cut off and the servers. */
export enum LinkCut {
  /** New connections are refused, and open ones are reset. */
  Refuses = "refuses",
  /** New connections hang, and open ones are reset. */
  Hangs = "hangs",
  /** New connections are refused, and open ones live on. */
  KeepsOpen = "keeps-open",
}

/** A kind of call: how long it holds its connection, and the pause between two calls of a VM. */
export interface CallKind {
  readonly name: string;
  readonly holdMs: number;
  readonly intervalMs: number;
}

/** Short calls, such as lookups and once-only calls, and streams. */
export const CALL_KINDS: readonly CallKind[] = [
  { name: "short calls", holdMs: 20, intervalMs: 200 },
  { name: "streams", holdMs: 3_000, intervalMs: 1_000 },
];

/** A finished call: where and when it began, and whether it reached a server in time. */
export interface DrilledCall {
  readonly kind: string;
  readonly vmName: string;
  readonly startedAtMs: number;
  readonly hasReached: boolean;
  readonly isTunnelled: boolean;
}

/** Size of a fleet. */
export interface LinkDrillOptions {
  readonly dataCentresCount: number;
  readonly vmsPerDataCentre: number;
  readonly serversCount: number;
}
