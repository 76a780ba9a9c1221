import * as events from "node:events";

import tap from "tap";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as constants from "../../constants.js";
import * as unreadAnswers from "./index.js";

const { UnreadAnswers, Peers } = byteBudgets.ByteHolder;

class FakeResponse extends events.EventEmitter {
  isDestroyed = false;

  destroy(): this {
    this.isDestroyed = true;
    this.emit("close");
    return this;
  }
}

function createUnread(limitBytes: number): {
  readonly bytes: byteBudgets.ByteBudget;
  readonly clock: virtualClocks.VirtualClock;
  readonly response: FakeResponse;
  readonly unread: unreadAnswers.UnreadAnswer;
} {
  const bytes = new byteBudgets.ByteBudget(limitBytes);
  const clock = new virtualClocks.VirtualClock();
  const response = new FakeResponse();
  const context = { bytes, clock, log: diagnostics.NOOP_DECISION_LOG };
  const unread = new unreadAnswers.UnreadAnswer(context, "r1", response as never);
  return { bytes, clock, response, unread };
}

tap.test("a caller that does not read is cut off while too many bytes are held", async (t) => {
  const { bytes, clock, response, unread } = createUnread(100);
  unread.resize(41);
  clock.advanceToMs(constants.UNREAD_GRACE_MS - 1);
  t.notOk(response.isDestroyed, "it has some time");
  clock.advanceToMs(constants.UNREAD_GRACE_MS + constants.UNREAD_CHECK_INTERVAL_MS);
  t.ok(response.isDestroyed);
  t.equal(bytes.usedBytes, 0);
  t.equal(bytes.evictionsOf(UnreadAnswers), 1);
  unread.resize(10);
  t.equal(bytes.usedBytes, 0, "nothing is counted after it");
  t.equal(clock.pendingTimersCount, 0);
});

tap.test("a slow caller keeps its answer while there is room for others", async (t) => {
  const { bytes, clock, response, unread } = createUnread(100);
  unread.resize(40);
  clock.advanceToMs(20 * constants.UNREAD_GRACE_MS);
  t.notOk(response.isDestroyed);
  t.equal(bytes.heldFor(UnreadAnswers), 40);
  response.emit("finish");
  t.equal(bytes.usedBytes, 0);
  t.equal(clock.pendingTimersCount, 0);
});

tap.test("a caller that reads again has its whole time again", async (t) => {
  const { bytes, clock, response, unread } = createUnread(100);
  bytes.open({ holder: Peers }).grow(76);
  unread.resize(10);
  clock.advanceToMs(constants.UNREAD_GRACE_MS - 1);
  unread.resize(0);
  unread.resize(10);
  clock.advanceToMs(2 * constants.UNREAD_GRACE_MS - 2);
  t.notOk(response.isDestroyed);
});
