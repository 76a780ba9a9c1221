import type * as eventSplitter from "../eventSplitter/index.js";

/** How an event of a stream relates to the events that were already forwarded. */
export enum EventOrder {
  /** Its id follows the last forwarded id; the event is forwarded. */
  Next = "next",
  /** It was forwarded before, by a run that continues from its memory; the event is dropped. */
  Repeated = "repeated",
  /** An event is missing, has no id, or belongs to a run that did not go on after the last one. */
  OutOfSequence = "out-of-sequence",
}

/** Checks that the events forwarded to a caller have consecutive ids, across all runs that produce them. */
export class EventSequence {
  /** Whether the current run has sent an event that the caller did not have. */
  private hasBegun = false;
  private mayRepeat = true;

  /**
   * @param lastEventId - id of the last event that the caller has; 0 if it has none
   */
  constructor(public lastEventId: number) {
    if (lastEventId > 0) this.expectNewRun();
  }

  /** Whether the current run has sent no event yet. */
  get awaitsFirstEvent(): boolean {
    return !this.hasBegun;
  }

  /**
   * Expects the events of a new run, whose first event has to follow the last forwarded one. A run that
   * starts elsewhere has generated a different text, which must not be joined to the forwarded one.
   */
  expectNewRun(): void {
    this.hasBegun = false;
    this.mayRepeat = false;
  }

  /** Records an event of the stream, and tells whether to forward it. */
  accept({ id }: Pick<eventSplitter.StreamEvent, "id">): EventOrder {
    if (id === null) return EventOrder.OutOfSequence;
    const isRepeatAllowed = this.mayRepeat || this.hasBegun;
    if (id <= this.lastEventId)
      return isRepeatAllowed ? EventOrder.Repeated : EventOrder.OutOfSequence;
    if (id !== this.lastEventId + 1) return EventOrder.OutOfSequence;
    this.lastEventId = id;
    this.hasBegun = true;
    return EventOrder.Next;
  }
}
