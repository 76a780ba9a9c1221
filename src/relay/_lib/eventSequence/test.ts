import tap from "tap";

import * as eventSequences from "./index.js";

const { EventOrder, EventSequence } = eventSequences;

function acceptAll(
  sequence: eventSequences.EventSequence,
  ids: readonly (number | null)[],
): readonly eventSequences.EventOrder[] {
  return ids.map((id) => sequence.accept({ id }));
}

tap.test("events are forwarded in order, each once", async (t) => {
  const sequence = new EventSequence(0);
  t.ok(sequence.awaitsFirstEvent);
  t.same(acceptAll(sequence, [1, 2]), [EventOrder.Next, EventOrder.Next]);
  t.notOk(sequence.awaitsFirstEvent);
  t.equal(sequence.accept({ id: 4 }), EventOrder.OutOfSequence, "an event is missing");
  t.equal(sequence.accept({ id: null }), EventOrder.OutOfSequence);
  t.equal(sequence.lastEventId, 2);
});

tap.test("a run that continues from its memory may repeat events", async (t) => {
  const sequence = new EventSequence(0);
  acceptAll(sequence, [1, 2, 3]);
  t.same(acceptAll(sequence, [2, 3, 4]), [
    EventOrder.Repeated,
    EventOrder.Repeated,
    EventOrder.Next,
  ]);
});

tap.test("a new run has to go on right after the last event", async (t) => {
  for (const begin of ["the caller's", "an earlier run's"]) {
    const sequence = new EventSequence(begin === "the caller's" ? 3 : 0);
    if (sequence.lastEventId === 0) {
      acceptAll(sequence, [1, 2, 3]);
      sequence.expectNewRun();
    }
    t.ok(sequence.awaitsFirstEvent);
    t.equal(sequence.accept({ id: 1 }), EventOrder.OutOfSequence, `after ${begin}`);
    t.equal(sequence.accept({ id: 3 }), EventOrder.OutOfSequence);
    t.equal(sequence.accept({ id: 4 }), EventOrder.Next);
    t.equal(sequence.accept({ id: 4 }), EventOrder.Repeated, "it has begun");
  }
});
