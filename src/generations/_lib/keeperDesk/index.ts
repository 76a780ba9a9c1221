import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import type * as contexts from "../context/index.js";
import * as frameBatchers from "../frameBatcher/index.js";
import * as messages from "../messages/index.js";
import * as records from "../record/index.js";

/** How many tokens of a generation a keeper holds. */
export interface CopiedCount {
  readonly requestId: string;
  readonly attempt: number;
  readonly heldCount: number;
}

/** Second copies of generations that other VMs own. */
export class KeeperDesk {
  private readonly copies = new Map<string, records.GenerationRecord>();

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly isOwnedHere: (requestId: string) => records.GenerationRecord | null,
  ) {}

  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Keep, messages.snapshotSchema, (snapshot) => this.keep(snapshot));
    link.handle(messages.Method.Forget, messages.attemptSchema, ({ requestId }) => {
      this.copies.delete(requestId);
    });
    link.handle(messages.Method.Located, messages.locatedSchema, (located, fromVm) => {
      const copy = this.copies.get(located.requestId);
      if (copy?.ownerVm !== fromVm || copy.attempt > located.attempt) return;
      copy.attempt = located.attempt;
      copy.run = located.run;
      this.extend(copy);
    });
    link.handleRaw(messages.Method.CopyFrames, (params, fromVm) => {
      this.takeFrames(frameBatchers.parseFrames(params), fromVm);
    });
  }

  get count(): number {
    return this.copies.size;
  }

  find(requestId: string): records.GenerationRecord | null {
    return this.copies.get(requestId) ?? null;
  }

  list(): readonly records.GenerationRecord[] {
    return [...this.copies.values()];
  }

  /** Notes which VM answers for a generation now. */
  noteOwner(requestId: string, ownerVm: string): void {
    const copy = this.copies.get(requestId);
    if (copy !== undefined) copy.ownerVm = ownerVm;
  }

  remove(requestId: string): void {
    this.copies.delete(requestId);
  }

  /** Forgets copies of generations whose answer need not be kept any longer. */
  expire(nowMs: number): void {
    for (const copy of this.copies.values()) {
      if (nowMs >= copy.expiresAtMs) this.copies.delete(copy.requestId);
    }
  }

  private keep(snapshot: messages.GenerationSnapshot): messages.HoldAnswer {
    const { requestId } = snapshot.request;
    const known = this.isOwnedHere(requestId) ?? this.copies.get(requestId);
    if (known !== undefined && known.attempt > snapshot.attempt) {
      return { isHeld: false, attempt: known.attempt, ownerVm: known.ownerVm };
    }
    const copy = new records.GenerationRecord(snapshot);
    const leftMs = snapshot.request.deadlineAtWallMs - this.context.clock.wallTimeMs();
    copy.expiresAtMs =
      this.context.clock.nowMs() + Math.max(0, leftMs) + snapshot.request.entry.keepFinishedMs;
    this.copies.set(requestId, copy);
    return { isHeld: true, attempt: copy.attempt, ownerVm: copy.ownerVm };
  }

  /** A generation that is still going on is held, also past its deadline. */
  private extend(copy: records.GenerationRecord): void {
    const { keepFinishedMs } = copy.request.entry;
    const keptUntilMs = this.context.clock.nowMs() + keepFinishedMs + constants.COPY_KEPT_MS;
    copy.expiresAtMs = Math.max(copy.expiresAtMs, keptUntilMs);
  }

  private takeFrames(frames: readonly types.TokenFrame[], fromVm: string): void {
    const counts: CopiedCount[] = [];
    for (const frame of frames) {
      const copy = this.copies.get(frame.requestId);
      if (copy?.ownerVm !== fromVm) continue;
      copy.attempt = Math.max(copy.attempt, frame.attempt);
      copy.acceptFrame(frame);
      this.extend(copy);
      const { requestId, attempt } = copy;
      counts.push({ requestId, attempt, heldCount: copy.tokens.length });
    }
    if (counts.length > 0) this.context.link.notify(fromVm, messages.Method.Copied, counts);
  }
}
