/** Faults that a stand-in may be told to show. */
export enum FaultKind {
  /** The process is gone, with all it held in memory. */
  Kill = "kill",
  /** Unreachable; nothing is lost. */
  Down = "down",
  /** Takes requests and answers none until healed. */
  Stall = "stall",
  /** Open connections deliver nothing any more; new ones work. */
  Silence = "silence",
  /** Given notice that it will be taken away. */
  Reclaim = "reclaim",
  /** Every answer takes longer. */
  Slow = "slow",
  /** Acts on requests that change something, and then breaks the connection. */
  LoseAnswer = "lose-answer",
  /** What it tells is older than it should be. */
  Lag = "lag",
}

/** A fault with its parameters; each applies to some kinds only. */
export interface Fault {
  readonly fault: FaultKind;
  /** How much longer (slow), how much older (lag), or how soon (reclaim). */
  readonly durationMs?: number;
  /** How many answers are lost; all until healed where left out. */
  readonly count?: number;
}

/** Anything that scenarios can make fail and heal again. */
export interface Faultable {
  readonly name: string;
  /** Shows a fault from now on; rejects where this stand-in has no such fault. */
  inject(fault: Fault): Promise<void>;
  heal(kind: FaultKind): Promise<void>;
}
