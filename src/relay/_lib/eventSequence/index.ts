import type * as eventSplitter from "../eventSplitter/index.js";

/** What is to be done with an event. */
export enum EventOrder {
  /** It is the next one. */
  Next = "next",
  /** The caller has it already; a run that continues from its memory may repeat events. */
  Repeated = "repeated",
  /** An event is missing, has no id, or belongs to a run that did not go on after the last one. */
  OutOfSequence = "out-of-sequence",
}

/** The events of one caller's stream: which of them the caller has. */
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
   * Expects the events of a new run, which has to go on right after the last event: one that begins
   * elsewhere is another text than the one that the caller has.
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
