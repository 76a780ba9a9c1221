const SEPARATOR = Buffer.from("\n\n");
const ID_LINE = /^id: ?(\d+)$/m;

/** One event of a stream, as its bytes came. */
export interface StreamEvent {
  /** Null where the event names none. */
  readonly id: number | null;
  readonly bytes: Buffer;
}

/** Cuts a stream into whole events and keeps what has not ended yet. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /** Whether an event has begun and not ended. */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }

  /** Takes in bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly StreamEvent[] {
    this.rest = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const events: StreamEvent[] = [];
    for (;;) {
      const separatorAt = this.rest.indexOf(SEPARATOR);
      if (separatorAt < 0) return events;
      const endAt = separatorAt + SEPARATOR.length;
      const bytes = this.rest.subarray(0, endAt);
      events.push({ id: idOf(bytes), bytes });
      this.rest = this.rest.subarray(endAt);
    }
  }
}

function idOf(bytes: Buffer): number | null {
  const match = ID_LINE.exec(bytes.toString("latin1"));
  return match?.[1] === undefined ? null : Number(match[1]);
}
