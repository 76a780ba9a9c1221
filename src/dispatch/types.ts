/** Purpose of a claim on an engine's memory. */
export enum ClaimRole {
  /** Memory of a run that executes on the engine. */
  Run = "run",
  /** A second engine's copy of a run's memory. */
  Backup = "backup",
  /** Memory reserved on the target engine while a run migrates to it. */
  Migration = "move",
}

/** Memory and prefill time that a VM has claimed on one engine for a run. */
export interface Claim {
  /** Id of the caller's attempt. */
  readonly requestId: string;
  readonly role: ClaimRole;
  /** The caller's entry VM. */
  readonly vmName: string;
  /** Engine on which the memory is claimed. */
  readonly serverId: string;
  /** Prompt tokens left to prefill; 0 for a run whose memory was transferred to the engine. */
  readonly unreadTokens: number;
  readonly promptTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
  readonly hasFirstEvent: boolean;
  /** Absent in what a VM of an earlier release claims. */
  readonly origin?: WorkOrigin;
}

/** Whose work a generation is. */
export interface WorkOrigin {
  /** Name of the client account; null for anonymous callers. */
  readonly accountName: string | null;
  /** 0 is the most urgent; negative for continuations of streams. */
  readonly priority: number;
}

/** A claim with the local times at which this VM first and last received it. */
export interface TimedClaim extends Claim {
  /** When this VM first recorded the claim on this server. */
  readonly sinceMs: number;
  /** When the claim was last added or updated. */
  readonly refreshedAtMs: number;
}

/** Sum of the claims on an engine. */
export interface EngineLoad {
  /** Memory that its runs and backups are expected to use. */
  readonly committedTokens: number;
  /** Memory that they use now, from the output tokens known so far. */
  readonly usedTokens: number;
  /** Memory that runs transfer to it while they migrate. */
  readonly incomingTokens: number;
  /** Prompt tokens that the engine prefills before a new prompt. */
  readonly backlogTokens: number;
  /** Runs, including those that are migrating to the engine, without backups. */
  readonly runningCount: number;
  /** Runs without a first event for longer than a healthy engine takes. */
  readonly overdueCount: number;
}

/** What a generation requires of an engine. */
export interface GenerationNeed {
  readonly promptTokens: number;
  /**
   * Prompt tokens left to prefill; less than the prompt where memory is transferred with the run.
   */
  readonly unreadTokens: number;
  readonly expectedOutputTokens: number;
  readonly producedTokens: number;
  /**
   * Preferred data centre: that of the caller's entry VM, or of the engine that a migrating run
   * leaves.
   */
  readonly dataCentre: string;
}

/** State of an engine that engine selection takes into account. */
export interface EngineCandidate extends EngineLoad {
  readonly serverId: string;
  readonly dataCentre: string;
  readonly memoryTokens: number;
  /** Tokens of memory that its link transfers in a millisecond within the data centre. */
  readonly transferTokensPerMs: number;
  /** Limit of concurrent runs. */
  readonly slotsCount: number;
  /** Time for which the engine is still slow after its start. */
  readonly coldRemainingMs: number;
  /** Share of failures among its recent answers, from 0 to 1. */
  readonly failureRatio: number;
  /** Whether a network partition to its data centre is suspected. */
  readonly isPartitioned: boolean;
  /** Cost of a stream from its data centre to another, as a share of the stream's duration. */
  readonly cutRiskRatio: number;
  /** Time for reading a prompt, as a multiple of that of a typical engine. */
  readonly slownessRatio: number;
  /** Time for writing output, as a multiple of that of a typical engine. */
  readonly writingRatio: number;
  /** Runs with which its streams' pauses stay within the routes' bound; Infinity if unknown. */
  readonly smoothRunsCount: number;
}

/** State of a plain server that server selection takes into account. */
export interface PlainCandidate {
  readonly serverId: string;
  readonly dataCentre: string;
  /** Calls of this VM in progress on the server. */
  readonly pendingCount: number;
  /** Share of failures among its recent answers, from 0 to 1. */
  readonly failureRatio: number;
  /** Whether a network partition to its data centre is suspected. */
  readonly isPartitioned: boolean;
  /** Moving average of the server's answer time; null before the first answer. */
  readonly typicalMs: number | null;
  /** The same; null if the server has not answered lately. */
  readonly recentMs: number | null;
  /** Time until the server takes another request of this VM; Infinity if it takes none. */
  readonly admissionDelayMs: number;
  /** Limit of concurrent requests. */
  readonly slotsCount: number;
  /** Time of the server's fastest answers; null while it is not known. */
  readonly fastMs: number | null;
  /** Share of its usual calls that it gets after rejections, from 0 to 1. */
  readonly shareAfterRejections: number;
}

/** A generation that waits for engine capacity. */
export interface WaitingGeneration {
  readonly requestId: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  readonly need: GenerationNeed;
  /** On the wall clock of the caller's entry VM; all VMs order the queue by it. */
  readonly enqueuedAtWallMs: number;
  /** Time by which the first event is due under the objective, on the same clock. */
  readonly objectiveAtWallMs: number;
  /** Servers that refused the generation or could not be reached. */
  readonly avoidedIds: ReadonlySet<string>;
  /** Name of the client account; null for anonymous callers, absent if an earlier release announces it. */
  readonly accountName?: string | null;
}

/** A waiting generation with its VM and service, as announced to the other VMs. */
export interface FleetWaiting extends WaitingGeneration {
  readonly vmName: string;
  readonly serviceName: string;
}

/** Announces this VM's claims and waiting generations to the other VMs. */
export interface WorkBroadcast {
  /** Announces a new or changed claim. */
  announceClaim(claim: Claim): void;
  /** Announces that a claim was released. */
  announceRelease(requestId: string, role: ClaimRole): void;
  /** Announces a generation that waits at this VM. */
  announceWaiting(waiting: FleetWaiting): void;
  /** Announces that a generation no longer waits at this VM. */
  announceWaitingEnd(requestId: string): void;
}
