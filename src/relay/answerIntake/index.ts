import type * as http from "node:http";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import type * as clocks from "../../_lib/clock/index.js";
import type * as diagnostics from "../../diagnostics/index.js";
import * as collectBodies from "../_lib/collectBody/index.js";
import * as heldBodies from "../_lib/heldBody/index.js";
import * as evictions from "../_lib/recordEviction/index.js";
import * as constants from "../constants.js";

const { ServerAnswers, StreamEvents } = byteBudgets.ByteHolder;

/** Statuses of answers that have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whose answer is read, and for which call. */
export interface AnswerOrigin {
  readonly requestId: string;
  readonly serverId: string;
  /** Method of the call; the answer to HEAD has no body. */
  readonly method: string;
  /** Closes the connection of the answer. */
  readonly close: () => void;
  /** Aborted when the call has ended; the body is not counted after it. */
  readonly signal: AbortSignal;
}

/** Whose stream an incomplete event belongs to. */
export interface EventOrigin extends Pick<AnswerOrigin, "requestId" | "serverId" | "close"> {
  /** Returns the memory that the event takes, in bytes. */
  readonly heldBytes: () => number;
}

/** Dependencies of the intake. */
export interface IntakeContext {
  readonly bytes: byteBudgets.ByteBudget;
  readonly clock: clocks.Clock;
  readonly log: diagnostics.DecisionLog;
}

/**
 * Reads servers' answers so that the sum of their bytes stays bounded. While much is held, large answers are
 * read one after the other, each for a short turn, so that a few sound ones are complete soon, and those without end
 * reach their bound soon. If slow ones add up nevertheless, the largest are given up.
 */
export class AnswerIntake {
  /** Paused answers, the one that waits longest first. */
  private readonly paused = new Set<http.IncomingMessage>();
  private reader: http.IncomingMessage | null = null;
  private turn: Disposable | null = null;

  constructor(private readonly context: IntakeContext) {}

  /** Reads an answer's body; resolves when it has ended or was given up, never rejects. */
  async read(
    message: http.IncomingMessage,
    { requestId, serverId, method, close, signal }: AnswerOrigin,
  ): Promise<heldBodies.HeldBody> {
    const { bytes, log } = this.context;
    const origin = { requestId, serverId };
    let held: heldBodies.HeldBody | null = null;
    let sizeBytes = 0;
    const reservation = bytes.open({
      holder: ServerAnswers,
      onEvicted: () => {
        held?.evict();
        reading.evict();
        close();
        evictions.recordEviction(log, bytes, { holder: ServerAnswers, ...origin, sizeBytes });
      },
    });
    const reading = new collectBodies.BodyReading(message, {
      maxBytes: constants.MAX_ANSWER_BYTES,
      announcedBytes: isBodiless(method, message) ? 0 : collectBodies.readAnnouncedBytes(message),
      onBytes: (chunkBytes) => {
        sizeBytes += chunkBytes;
        reservation.grow(chunkBytes);
        if (sizeBytes > constants.MAX_UNPACED_ANSWER_BYTES) this.pace(message);
      },
    });
    const collected = await reading.collected;
    this.leave(message);
    held = new heldBodies.HeldBody(collected.end, collected.chunks, reservation);
    const isComplete = collected.end === collectBodies.BodyEnd.Complete;
    if (!isComplete || signal.aborted) held[Symbol.dispose]();
    const dispose = held[Symbol.dispose].bind(held);
    signal.addEventListener("abort", dispose, { once: true });
    return held;
  }

  /** Opens the count of a stream's incomplete event, which closes the stream if it has to make room for others. */
  openEvent({ requestId, serverId, close, heldBytes }: EventOrigin): byteBudgets.ByteReservation {
    const { bytes, log } = this.context;
    return bytes.open({
      holder: StreamEvents,
      onEvicted: () => {
        const sizeBytes = heldBytes();
        close();
        const origin = { requestId, serverId };
        evictions.recordEviction(log, bytes, { holder: StreamEvents, ...origin, sizeBytes });
      },
    });
  }

  private get isPacing(): boolean {
    const { bytes } = this.context;
    return bytes.receivedBytes > constants.PACED_ANSWERS_RATIO * bytes.limitBytes;
  }

  /** Pauses an answer that has received bytes, if it has to wait for its turn. */
  private pace(message: http.IncomingMessage): void {
    const { bytes } = this.context;
    while (bytes.heldFor(ServerAnswers) > constants.MAX_ANSWERS_RATIO * bytes.limitBytes)
      if (!bytes.evictLargest(ServerAnswers)) break;
    if (!this.isPacing || message.destroyed) return;
    if (this.turn === null) this.beginTurn(message);
    if (this.reader === message) return;
    message.pause();
    this.paused.add(message);
  }

  /** Whether callers have to read what they were sent before more is read for them. */
  private get isAwaitingCallers(): boolean {
    const { bytes } = this.context;
    const othersBytes = bytes.receivedBytes - bytes.heldFor(ServerAnswers);
    return othersBytes > constants.MAX_UNREAD_RATIO * bytes.limitBytes;
  }

  /** Reads one answer for a while; reads none in that time if callers have to read first. */
  private beginTurn(message: http.IncomingMessage): void {
    const { clock } = this.context;
    if (this.isAwaitingCallers) {
      this.turn = clock.schedule(constants.CALLERS_CHECK_INTERVAL_MS, () => this.endTurn());
      return;
    }
    this.paused.delete(message);
    this.reader = message;
    this.turn = clock.schedule(constants.ANSWER_TURN_MS, () => this.endTurn());
    message.resume();
  }

  private endTurn(): void {
    this.turn?.[Symbol.dispose]();
    this.turn = null;
    this.reader = null;
    if (!this.isPacing) {
      for (const message of this.paused) message.resume();
      this.paused.clear();
      return;
    }
    const [next] = this.paused;
    if (next !== undefined) this.beginTurn(next);
  }

  private leave(message: http.IncomingMessage): void {
    this.paused.delete(message);
    if (this.reader === message) this.endTurn();
  }
}

function isBodiless(method: string, { statusCode = 0 }: http.IncomingMessage): boolean {
  return method === "HEAD" || BODILESS_STATUSES.has(statusCode);
}
