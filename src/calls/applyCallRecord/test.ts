import * as fc from "fast-check";
import tap from "tap";

import * as constants from "../constants.js";
import * as createCallsState from "../createCallsState/index.js";
import * as types from "../types.js";
import * as applyCallRecord from "./index.js";

function applyAll(
  payloads: readonly unknown[],
  wallMs = (index: number) => index,
): types.CallsState {
  return payloads.reduce<types.CallsState>(
    (state, payload, index) =>
      applyCallRecord.applyCallRecord(state, {
        offset: index,
        appendedAtWallMs: wallMs(index),
        payload,
      }),
    createCallsState.createCallsState(),
  );
}

function intent(attempt: string, keyTimeMs: number | null = null): types.IntentRecord {
  const retentionMs = 1_000;
  return { type: "intent", keyId: "k", attempt, bodyHash: "h", vm: "vm", keyTimeMs, retentionMs };
}

function released(attempt: string): types.ReleasedRecord {
  return { type: "released", keyId: "k", attempt };
}

const ANSWER = { statusCode: 201, contentType: "text/plain", body: "" };

function outcome(attempt: string): types.OutcomeRecord {
  return { type: "outcome", keyId: "k", attempt, answer: ANSWER };
}

function keyAfter(
  payloads: readonly unknown[],
  wallMs?: (index: number) => number,
): types.KeyState {
  return applyCallRecord.findKeyState(applyAll(payloads, wallMs), "k");
}

tap.test("only the first intent takes the key", async (t) => {
  t.match(keyAfter([intent("a"), intent("b")]), { phase: "held", attempt: "a" });
});

tap.test("a release frees the key for a later intent, but not for an earlier one", async (t) => {
  t.match(keyAfter([intent("a"), intent("b"), released("a")]), { phase: "free" });
  t.match(keyAfter([intent("a"), released("a"), intent("b")]), { phase: "held", attempt: "b" });
});

tap.test("an intent after the release of its own attempt has no effect", async (t) => {
  t.match(keyAfter([released("a"), intent("a")]), { phase: "free" });
  t.match(keyAfter([intent("a"), released("a"), intent("a")]), { phase: "free" });
});

tap.test(
  "a release or outcome of another attempt does not affect the attempt that holds the key",
  async (t) => {
    const records = [intent("a"), released("b"), outcome("b")];
    t.match(keyAfter(records), { phase: "held", attempt: "a" });
  },
);

tap.test("after `unknown` an outcome completes the key, and a release has no effect", async (t) => {
  const open = { type: "unknown", keyId: "k", attempt: "a" };
  t.match(keyAfter([intent("a"), open, outcome("a")]), { phase: "done", answer: ANSWER });
  t.match(keyAfter([intent("a"), open, released("a")]), { phase: "unknown" });
});

tap.test("after its retention time an answer is dropped, and the key stays spent", async (t) => {
  const records = [intent("a"), outcome("a"), intent("b")];
  t.match(
    keyAfter(records, (index) => index * 2_000),
    { phase: "spent", answer: null },
  );
});

tap.test(
  "a used key is removed and refused when too old only if it carries a timestamp",
  async (t) => {
    const yearMs = 365 * 86_400_000;
    const others = Array.from({ length: 5_000 }, () => ({ type: "noise" }));
    const wallMsOf = (index: number): number => (index < 2 ? index : yearMs);
    const untimed = keyAfter([intent("a"), outcome("a"), ...others, intent("b")], wallMsOf);
    t.match(untimed, { phase: "spent", attempt: "a" });
    const state = applyAll([intent("a", 5), outcome("a"), ...others, intent("b", 5)], wallMsOf);
    t.equal(state.keys.size, 0);
    t.ok(applyCallRecord.isKeyTooOld(state, 5));
    t.notOk(applyCallRecord.isKeyTooOld(state, yearMs - constants.MAX_TIMED_KEY_AGE_MS));
  },
);

tap.test("the offset advances with any payload, also a malformed one", async (t) => {
  const recordLike = fc.record({
    type: fc.constantFrom("intent", "released", "outcome", "unknown"),
    keyId: fc.anything(),
    attempt: fc.anything(),
    answer: fc.anything(),
  });
  fc.assert(
    fc.property(fc.array(fc.oneof(recordLike, fc.anything()), { maxLength: 5 }), (payloads) => {
      return applyAll(payloads).appliedOffset === payloads.length - 1;
    }),
    { seed: 11, numRuns: 500 },
  );
  t.pass();
});
