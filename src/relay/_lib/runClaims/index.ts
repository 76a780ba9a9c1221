import * as dispatch from "../../../dispatch/index.js";
import type * as servers from "../../../servers/index.js";
import type * as relayContext from "../../relayContext.js";
import type * as types from "../../types.js";

const { ClaimRole } = dispatch;

/** Output that is expected of a generation whose caller gives no hint, as a share of its maximum. */
const UNHINTED_OUTPUT_RATIO = 0.5;

/** What one generation has claimed: memory for its run, and for a copy of it at a second engine. */
export class RunClaims {
  private backupServer: servers.KnownServer | null = null;
  private readonly generation: types.GenerationRequest;
  private readonly tokensPerEvent: number;
  private readonly canBackUp: boolean;
  /** Whether the service's engines move the memory of runs. */
  readonly canMove: boolean;
  readonly expectedOutputTokens: number;

  constructor(
    private readonly context: relayContext.RelayContext,
    private readonly call: types.Call,
  ) {
    this.generation = call.head.generation ?? NO_GENERATION;
    const traits = context.dispatcher.traitsOf(call.serviceName);
    this.tokensPerEvent = traits?.tokensPerEvent ?? 1;
    this.canBackUp = traits?.canBackUpRuns ?? false;
    this.canMove = traits?.canMoveRuns ?? false;
    this.expectedOutputTokens = expectedOutput(this.generation, context, call.route.name);
  }

  /** The engine that keeps a copy of the run's memory. */
  get backup(): servers.KnownServer | null {
    const { backupServer } = this;
    if (backupServer === null) return null;
    return this.context.directory.find(backupServer.entry.id) ?? null;
  }

  /** What the generation asks of an engine before it runs. */
  initialNeed(): dispatch.GenerationNeed {
    return { ...this.continuationNeed(0), unreadTokens: this.generation.promptTokens };
  }

  /** What the run asks of an engine to which its memory comes along. */
  continuationNeed(lastEventId: number): dispatch.GenerationNeed {
    return {
      promptTokens: this.generation.promptTokens,
      unreadTokens: 0,
      expectedOutputTokens: this.expectedOutputTokens,
      producedTokens: lastEventId * this.tokensPerEvent,
      dataCentre: this.context.dataCentre,
    };
  }

  /** Tokens that the run is expected to produce still. */
  restTokens(lastEventId: number): number {
    const producedTokens = lastEventId * this.tokensPerEvent;
    return dispatch.estimateRest(this.expectedOutputTokens, producedTokens);
  }

  /** The engine that could keep a copy of a run at another engine; null where none has the room. */
  chooseBackup(runServerId: string, lastEventId: number): servers.KnownServer | null {
    if (!this.canBackUp) return null;
    const need = this.continuationNeed(lastEventId);
    const candidates = this.context.dispatcher.candidates(this.call.serviceName, new Set());
    const engine = dispatch.selectBackupEngine(need, candidates, runServerId);
    return (engine && this.context.directory.find(engine.serverId)) ?? null;
  }

  /** Claims memory for a copy of the run. */
  holdBackup(server: servers.KnownServer, lastEventId: number): void {
    this.backupServer = server;
    const serverId = server.entry.id;
    this.put(ClaimRole.Backup, serverId, lastEventId, true);
  }

  /** The run goes on at another engine, with a copy of it at a third one or none. */
  moveTo(serverId: string, backup: servers.KnownServer | null, lastEventId: number): void {
    this.releaseBackup();
    this.put(ClaimRole.Run, serverId, lastEventId, true);
    if (backup !== null) this.holdBackup(backup, lastEventId);
  }

  /** The run has its prompt read. */
  noteFirstEvent(): void {
    const claim = this.context.dispatcher.claimOf(this.call.head.id, ClaimRole.Run);
    if (claim !== undefined) this.put(ClaimRole.Run, claim.serverId, 1, true);
  }

  noteProgress(lastEventId: number): void {
    this.context.dispatcher.noteProgress(this.call.head.id, lastEventId * this.tokensPerEvent);
  }

  /** Learns from the length of a whole output. */
  noteOutputLength(eventsCount: number): void {
    const { hintedOutputTokens } = this.generation;
    const outputTokens = eventsCount * this.tokensPerEvent;
    this.context.lengths.note(this.call.route.name, hintedOutputTokens, outputTokens);
  }

  releaseBackup(): void {
    if (this.backupServer === null) return;
    this.backupServer = null;
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Backup);
  }

  /** The run has gone on where its memory was moved, or not at all. */
  releaseMove(): void {
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Move);
  }

  releaseAll(): void {
    this.releaseBackup();
    this.releaseMove();
    this.context.dispatcher.releaseClaim(this.call.head.id, ClaimRole.Run);
  }

  private put(
    role: dispatch.ClaimRole,
    serverId: string,
    lastEventId: number,
    hasFirstEvent: boolean,
  ): void {
    this.context.dispatcher.putClaim({
      ...this.continuationNeed(lastEventId),
      requestId: this.call.head.id,
      role,
      vmName: this.context.vmName,
      serverId,
      hasFirstEvent,
    });
  }
}

const NO_GENERATION: types.GenerationRequest = {
  model: "",
  promptTokens: 0,
  maxOutputTokens: 0,
  hintedOutputTokens: null,
};

function expectedOutput(
  generation: types.GenerationRequest,
  context: relayContext.RelayContext,
  routeName: string,
): number {
  const { hintedOutputTokens, maxOutputTokens } = generation;
  if (hintedOutputTokens === null) return maxOutputTokens * UNHINTED_OUTPUT_RATIO;
  const learnedTokens = hintedOutputTokens * context.lengths.ratioOf(routeName);
  return Math.min(learnedTokens, maxOutputTokens);
}
