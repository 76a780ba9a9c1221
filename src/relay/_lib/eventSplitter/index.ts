import * as constants from "../../constants.js";

const LINE_FEED = 0x0a;
const SEPARATOR = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)$/m;

/** Size of the first block for an incomplete event; most events are smaller. */
const MIN_BLOCK_BYTES = 512;

/** One event of a stream, with its bytes as received. */
export interface StreamEvent {
  /** Null if the event has no id that can be counted on from. */
  readonly id: number | null;
  readonly bytes: Buffer;
}

/**
 * Splits a byte stream into complete events and buffers an incomplete one. Each byte is looked at once, and copied a
 * few times at most, however small the chunks are.
 */
export class EventSplitter {
  /** Holds the incomplete event; its size doubles as needed. */
  private block: Buffer | null = null;
  private incompleteBytes = 0;
  private hasOverflowed = false;

  /** Whether the buffer holds an incomplete event. */
  get hasIncompleteEvent(): boolean {
    return this.incompleteBytes > 0 || this.hasOverflowed;
  }

  /** Memory that the incomplete event takes, in bytes. */
  get heldBytes(): number {
    return this.block?.length ?? 0;
  }

  /** Whether an event exceeded the limit; nothing is read after it. */
  get isOverflowing(): boolean {
    return this.hasOverflowed;
  }

  /** Adds received bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    if (this.hasOverflowed) return [];
    const events: StreamEvent[] = [];
    let startAt = 0;
    for (;;) {
      const endAt = this.findEnd(chunk, startAt);
      if (endAt === null) break;
      const bytes = this.takeEvent(chunk.subarray(startAt, endAt));
      events.push({ id: parseEventId(bytes), bytes });
      startAt = endAt;
    }
    this.hold(chunk.subarray(startAt));
    return events;
  }

  /** Finds where the event ends that goes on at a position of the chunk. */
  private findEnd(chunk: Buffer, startAt: number): number | null {
    const isSeparated = this.block?.[this.incompleteBytes - 1] === LINE_FEED;
    if (isSeparated && chunk[startAt] === LINE_FEED) return startAt + 1;
    const separatorAt = chunk.indexOf(SEPARATOR, startAt);
    return separatorAt < 0 ? null : separatorAt + SEPARATOR.length;
  }

  private takeEvent(rest: Buffer): Buffer {
    if (this.block === null) return rest;
    this.append(rest);
    const bytes = this.block.subarray(0, this.incompleteBytes);
    this.block = null;
    this.incompleteBytes = 0;
    return bytes;
  }

  /** Copies the begin of an event, so that it does not keep the whole chunk in memory. */
  private hold(rest: Buffer): void {
    if (rest.length === 0) return;
    this.hasOverflowed = this.incompleteBytes + rest.length > constants.MAX_EVENT_BYTES;
    if (this.hasOverflowed) this.block = null;
    else this.append(rest);
  }

  private append(bytes: Buffer): void {
    const sizeBytes = this.incompleteBytes + bytes.length;
    if (this.block === null || this.block.length < sizeBytes) {
      const doubledBytes = Math.min(constants.MAX_EVENT_BYTES, 2 * (this.block?.length ?? 0));
      const grown = Buffer.allocUnsafe(Math.max(MIN_BLOCK_BYTES, doubledBytes, sizeBytes));
      this.block?.copy(grown, 0, 0, this.incompleteBytes);
      this.block = grown;
    }
    this.incompleteBytes += bytes.copy(this.block, this.incompleteBytes);
  }
}

function parseEventId(bytes: Buffer): number | null {
  const match = ID_LINE.exec(bytes.toString("latin1"));
  const id = Number(match?.[1] ?? NaN);
  // Beyond the safe integers, another id can look like the next one.
  return Number.isSafeInteger(id) ? id : null;
}
