import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import * as messages from "../messages/index.js";
import * as records from "../generationRecord/index.js";

/** A standby's acknowledgement of the number of tokens that it holds of a generation. */
export interface ReplicaAck {
  readonly requestId: string;
  readonly attempt: number;
  readonly heldCount: number;
}

/** Stores the replicas whose standby this VM is, and handles messages of their owners. */
export class StandbyHandlers {
  private readonly replicas = new Map<string, records.GenerationRecord>();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly findOwnedRecord: (requestId: string) => records.GenerationRecord | null,
  ) {}

  /** Registers the message handlers. */
  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.StoreReplica, messages.snapshotSchema, (snapshot) =>
      this.storeReplica(snapshot),
    );
    link.handle(messages.Method.Forget, messages.attemptSchema, ({ requestId }) => {
      this.replicas.delete(requestId);
    });
    link.handle(messages.Method.Located, messages.locatedSchema, (located, fromVm) => {
      const replica = this.replicas.get(located.requestId);
      if (replica?.ownerVm !== fromVm || replica.attempt > located.attempt) return;
      replica.attempt = located.attempt;
      replica.run = located.run;
      this.extendRetention(replica);
    });
    link.handleRaw(messages.Method.ReplicateFrames, (params, fromVm) => {
      this.applyFrames(frameBatchers.parseFrames(params), fromVm);
    });
  }

  get count(): number {
    return this.replicas.size;
  }

  find(requestId: string): records.GenerationRecord | null {
    return this.replicas.get(requestId) ?? null;
  }

  list(): readonly records.GenerationRecord[] {
    return [...this.replicas.values()];
  }

  /** Records which VM owns a generation now. */
  recordOwner(requestId: string, ownerVm: string): void {
    const replica = this.replicas.get(requestId);
    if (replica !== undefined) replica.ownerVm = ownerVm;
  }

  remove(requestId: string): void {
    this.replicas.delete(requestId);
  }

  /** Forgets replicas whose retention has expired. */
  expire(nowMs: number): void {
    for (const replica of this.replicas.values()) {
      if (nowMs >= replica.expiresAtMs) this.replicas.delete(replica.requestId);
    }
  }

  private storeReplica(snapshot: messages.GenerationSnapshot): messages.StoreReplicaAnswer {
    const { requestId } = snapshot.request;
    const known = this.findOwnedRecord(requestId) ?? this.replicas.get(requestId);
    if (known !== undefined && known.attempt > snapshot.attempt) {
      return { isHeld: false, attempt: known.attempt, ownerVm: known.ownerVm };
    }
    const replica = new records.GenerationRecord(snapshot);
    const remainingMs = snapshot.request.deadlineAtWallMs - this.context.clock.wallTimeMs();
    replica.expiresAtMs =
      this.context.clock.nowMs() + Math.max(0, remainingMs) + snapshot.request.entry.keepFinishedMs;
    this.replicas.set(requestId, replica);
    return { isHeld: true, attempt: replica.attempt, ownerVm: replica.ownerVm };
  }

  /** Extends the retention of a replica that is still updated, also past its deadline. */
  private extendRetention(replica: records.GenerationRecord): void {
    const { keepFinishedMs } = replica.request.entry;
    const retainedUntilMs =
      this.context.clock.nowMs() + keepFinishedMs + constants.REPLICA_RETENTION_MS;
    replica.expiresAtMs = Math.max(replica.expiresAtMs, retainedUntilMs);
  }

  private applyFrames(frames: readonly types.TokenFrame[], fromVm: string): void {
    const acks: ReplicaAck[] = [];
    for (const frame of frames) {
      const replica = this.replicas.get(frame.requestId);
      if (replica?.ownerVm !== fromVm) continue;
      replica.attempt = Math.max(replica.attempt, frame.attempt);
      replica.acceptFrame(frame);
      this.extendRetention(replica);
      const { requestId, attempt } = replica;
      acks.push({ requestId, attempt, heldCount: replica.tokens.length });
    }
    if (acks.length > 0) this.context.link.notify(fromVm, messages.Method.ReplicaAcks, acks);
  }
}
