/** Kinds of faults that can be injected into a stand-in. */
export enum FaultKind {
  /** The process has died and its memory is lost. */
  Kill = "kill",
  /** The stand-in is unreachable; its state is kept. */
  Down = "down",
  /** Requests are accepted but not answered until the fault is healed. */
  Stall = "stall",
  /** Open connections deliver nothing more; new ones work. */
  Silence = "silence",
  /** The engine receives a termination notice and dies after a delay. */
  Reclaim = "reclaim",
  /** Every request and every answer is delayed. */
  Slow = "slow",
  /** Requests other than GET are executed, but the connection is closed instead of an answer. */
  LoseAnswer = "lose-answer",
  /** Requests other than GET are executed and answered with the status 000. */
  SpoilStatus = "spoil-status",
  /** Readers receive an outdated state. */
  Lag = "lag",
}

/** A fault with its parameters; each parameter applies to some kinds only. */
export interface Fault {
  readonly fault: FaultKind;
  /** The delay (slow), the age of the state (lag), or the time until death (reclaim). */
  readonly durationMs?: number;
  /** Number of answers to lose or spoil; if omitted, all are until the fault is healed. */
  readonly count?: number;
}

/** A stand-in whose faults scenarios can inject and heal. */
export interface Faultable {
  readonly name: string;
  /** Injects a fault; rejects if this stand-in does not support it. */
  inject(fault: Fault): Promise<void>;
  /** Ends a fault; rejects if this stand-in cannot heal it. */
  heal(kind: FaultKind): Promise<void>;
}
