import * as dispatch from "../../../dispatch/index.js";
import type * as servers from "../../../servers/index.js";
import * as constants from "../../constants.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";
import type * as streamTimings from "../streamTiming/index.js";
import * as placeRuns from "../placeRun/index.js";

const { ClaimRole } = dispatch;

/** Expected output of a generation without a length hint, as a fraction of its maximum. */
const UNHINTED_OUTPUT_RATIO = 0.5;

/** The claims of one generation: memory for its run, for its backup and for its migration. */
export class RunClaims {
  private backupServer: servers.KnownServer | null = null;
  private readonly generation: types.GenerationRequest;
  private readonly tokensPerEvent: number;
  private readonly canBackUp: boolean;
  /** Whether the service's engines can transfer the memory of runs. */
  readonly canMigrate: boolean;
  readonly expectedOutputTokens: number;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
  ) {
    this.generation = call.head.generation ?? EMPTY_GENERATION;
    const traits = context.dispatcher.traitsOf(call.serviceName);
    this.tokensPerEvent = traits?.tokensPerEvent ?? 1;
    this.canBackUp = traits?.canBackUpRuns ?? false;
    this.canMigrate = traits?.canMoveRuns ?? false;
    this.expectedOutputTokens = estimateOutputTokens(this.generation, context, call.route.name);
  }

  /** The engine that keeps the run's backup; null if there is none or the engine is unknown. */
  get backup(): servers.KnownServer | null {
    const { backupServer } = this;
    if (backupServer === null) return null;
    return this.context.directory.find(backupServer.entry.id) ?? null;
  }

  /**
   * Returns what a new run requires of an engine: it reads the prompt and what was produced up to the
   * caller's last event, and has to produce the rest.
   */
  createInitialNeed(lastEventId: number): dispatch.GenerationNeed {
    const need = this.createContinuationNeed(lastEventId);
    return { ...need, unreadTokens: need.promptTokens + need.producedTokens };
  }

  /** Returns what the run requires of an engine to which its memory is transferred. */
  createContinuationNeed(lastEventId: number): dispatch.GenerationNeed {
    return {
      promptTokens: this.generation.promptTokens,
      unreadTokens: 0,
      expectedOutputTokens: this.expectedOutputTokens,
      // A caller may name an event beyond the end of the stream.
      producedTokens: Math.min(lastEventId * this.tokensPerEvent, this.generation.maxOutputTokens),
      dataCentre: this.context.dataCentre,
    };
  }

  /** Estimates the tokens that the run has yet to produce. */
  estimateTokensLeft(lastEventId: number): number {
    const producedTokens = lastEventId * this.tokensPerEvent;
    return dispatch.estimateRemainingOutput(this.expectedOutputTokens, producedTokens);
  }

  /** Estimates how long an engine takes for the rest of the run's output. */
  estimateRemainingMs(server: servers.ServerEntry, lastEventId: number): number {
    const { writingRatio } = this.context.dispatcher.speedOf(server);
    return this.estimateTokensLeft(lastEventId) * dispatch.TOKEN_TIME_MS * writingRatio;
  }

  /** Selects an engine for the backup of a run on another engine; null if none has capacity. */
  selectBackup(runServerId: string, lastEventId: number): servers.KnownServer | null {
    if (!this.canBackUp || this.isShortAndResumable(lastEventId)) return null;
    const need = this.createContinuationNeed(lastEventId);
    const candidates = this.context.dispatcher.listCandidates(this.call.serviceName, new Set());
    const engine = dispatch.selectBackupEngine(need, candidates, runServerId);
    return (engine && this.context.directory.find(engine.serverId)) ?? null;
  }

  /** Whether a run costs less to repeat than the memory of its backup, which longer runs need. */
  private isShortAndResumable(lastEventId: number): boolean {
    const remainingMs = this.estimateTokensLeft(lastEventId) * dispatch.TOKEN_TIME_MS;
    return this.call.route.isResumable && remainingMs < constants.MIN_HANDOVER_REMAINING_MS;
  }

  /** Claims memory for the run's backup. */
  claimBackup(server: servers.KnownServer, lastEventId: number): void {
    this.backupServer = server;
    const serverId = server.entry.id;
    this.setClaim(ClaimRole.Backup, serverId, lastEventId, true);
  }

  /** Moves the run's claim to the engine on which it continues, and claims its new backup, if any. */
  continueAt(serverId: string, backup: servers.KnownServer | null, lastEventId: number): void {
    this.releaseBackup();
    this.setClaim(ClaimRole.Run, serverId, lastEventId, true);
    if (backup !== null) this.claimBackup(backup, lastEventId);
  }

  /** Records that the run has produced its first event, so that its prompt is prefilled. */
  recordFirstEvent(eventId: number): void {
    const claim = this.context.dispatcher.findClaim(this.call.head.id, ClaimRole.Run);
    if (claim !== undefined) this.setClaim(ClaimRole.Run, claim.serverId, eventId, true);
  }

  /** Records how many tokens the run has produced. */
  recordProgress(lastEventId: number): void {
    this.context.dispatcher.recordProgress(this.call.head.id, lastEventId * this.tokensPerEvent);
  }

  /** Updates the learned speed of an engine from some events that it wrote. */
  recordWriting(
    server: servers.ServerEntry,
    { eventsCount, elapsedMs, maxGapMs }: streamTimings.EventWindow,
  ): void {
    if (server.coldRemainingMs > 0) return;
    const { dispatcher } = this.context;
    dispatcher.speeds.recordWriting(server, {
      tokensCount: eventsCount * this.tokensPerEvent,
      elapsedMs,
      maxGapMs,
      runningCount: dispatcher.loadOf(server.id).runningCount,
    });
  }

  /** Updates the learned output lengths from a complete output. */
  recordOutputLength(eventsCount: number): void {
    const { hintedOutputTokens } = this.generation;
    const outputTokens = eventsCount * this.tokensPerEvent;
    this.context.lengths.recordLength(this.call.route.name, hintedOutputTokens, outputTokens);
  }

  /** Releases the claim of the run's backup, if there is one. */
  releaseBackup(): void {
    if (this.backupServer === null) return;
    this.backupServer = null;
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Backup);
  }

  /** Releases the claim of a migration that has finished or failed. */
  releaseMigration(): void {
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Migration);
  }

  /** Releases all claims of the generation. */
  releaseAll(): void {
    this.releaseBackup();
    this.releaseMigration();
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Run);
  }

  private setClaim(
    role: dispatch.ClaimRole,
    serverId: string,
    lastEventId: number,
    hasFirstEvent: boolean,
  ): void {
    this.context.dispatcher.setClaim({
      ...this.createContinuationNeed(lastEventId),
      requestId: this.call.head.id,
      role,
      vmName: this.context.vmName,
      serverId,
      hasFirstEvent,
      origin: {
        accountName: this.call.account?.name ?? null,
        priority: placeRuns.priorityOf(this.call),
      },
    });
  }
}

const EMPTY_GENERATION: types.GenerationRequest = {
  model: "",
  promptTokens: 0,
  maxOutputTokens: 0,
  hintedOutputTokens: null,
  promptPartIds: [],
};

function estimateOutputTokens(
  generation: types.GenerationRequest,
  context: relayContext.RelayContext,
  routeName: string,
): number {
  const { hintedOutputTokens, maxOutputTokens } = generation;
  if (hintedOutputTokens === null) return maxOutputTokens * UNHINTED_OUTPUT_RATIO;
  const learnedTokens = hintedOutputTokens * context.lengths.ratioOf(routeName);
  return Math.min(learnedTokens, maxOutputTokens);
}
