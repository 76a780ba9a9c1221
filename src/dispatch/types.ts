/** What a run's memory on an engine is for. */
export enum ClaimRole {
  Run = "run",
  /** A second engine's copy of a run's memory. */
  Backup = "backup",
  /** Memory that is being moved to an engine, at which the run will go on. */
  Move = "move",
}

/** Memory and reading time of one engine that a VM has taken for a run. */
export interface Claim {
  /** Id of the caller's attempt. */
  readonly requestId: string;
  readonly role: ClaimRole;
  /** The VM that has the caller. */
  readonly vmName: string;
  readonly serverId: string;
  /** Tokens of the prompt that the engine has to read; 0 for a run that came with its memory. */
  readonly unreadTokens: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
  readonly hasFirstEvent: boolean;
}

/** A claim with the times at which this VM learned of it. */
export interface TimedClaim extends Claim {
  readonly sinceMs: number;
  /** When it was last put. */
  readonly refreshedAtMs: number;
}

/** What the claims on an engine add up to. */
export interface EngineLoad {
  /** Memory that its runs and copies are expected to take. */
  readonly committedTokens: number;
  /** Memory that they take by now, by what is known of their outputs. */
  readonly usedTokens: number;
  /** Prompt tokens that are still to be read before a new prompt. */
  readonly backlogTokens: number;
  readonly runningCount: number;
  /** Runs that have waited for their first event for longer than any engine in good order takes. */
  readonly overdueCount: number;
}

/** What a generation asks of an engine. */
export interface GenerationNeed {
  readonly promptTokens: number;
  /** Part of the prompt that has to be read; less than all where memory moves along. */
  readonly unreadTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
  readonly dataCentre: string;
}

/** An engine that could take a generation, as the choice sees it. */
export interface EngineCandidate extends EngineLoad {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly memoryTokens: number;
  readonly slotsCount: number;
  readonly coldRemainingMs: number;
  /** Share of its last answers that were failures. */
  readonly failureRatio: number;
  /** Whether the way to its data centre seems cut. */
  readonly isCutOff: boolean;
  /** Time to the first event as seen, over the time that was expected. */
  readonly slownessRatio: number;
}

/** A server without model engine that could take a call, as the choice sees it. */
export interface PlainCandidate {
  readonly serverId: string;
  readonly dataCentre: string;
  /** Calls of this VM in progress there. */
  readonly pendingCount: number;
  readonly failureRatio: number;
  /** Whether the way to its data centre seems cut. */
  readonly isCutOff: boolean;
  /** Null before the first answer. */
  readonly typicalMs: number | null;
}

/** A generation that waits for room. */
export interface WaitingGeneration {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly need: GenerationNeed;
  /** On the wall clock of the VM that has the caller, which all VMs order by. */
  readonly enqueuedAtWallMs: number;
  /** When the objective for the first event runs out, on the same clock. */
  readonly objectiveAtWallMs: number;
  /** Servers that refused the generation or could not be reached. */
  readonly avoidedIds: ReadonlySet<string>;
}

/** A generation that waits at one of the VMs, as the others know it. */
export interface FleetWaiting extends WaitingGeneration {
  readonly vmName: string;
  readonly serviceName: string;
}

/** Tells the other VMs of claims and of what waits. */
export interface WorkBroadcast {
  put(claim: Claim): void;
  release(requestId: string, role: ClaimRole): void;
  putWaiting(waiting: FleetWaiting): void;
  removeWaiting(requestId: string): void;
}
