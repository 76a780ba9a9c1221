import tap from "tap";

import * as byteBudgets from "./index.js";

const { ByteBudget, ByteHolder } = byteBudgets;

tap.test("bytes are counted by their holder until the reservation is disposed of", async (t) => {
  const budget = new ByteBudget(100);
  const answer = budget.open({ holder: ByteHolder.ServerAnswers });
  const body = budget.open({ holder: ByteHolder.CallerBodies });
  answer.grow(30);
  answer.grow(10);
  body.grow(20);
  t.equal(budget.usedBytes, 60);
  t.equal(budget.heldFor(ByteHolder.ServerAnswers), 40);
  answer.resize(5);
  t.equal(budget.usedBytes, 25);
  answer[Symbol.dispose]();
  answer.grow(50);
  t.equal(budget.usedBytes, 20, "an ended reservation counts nothing");
  t.equal(budget.heldFor(ByteHolder.ServerAnswers), 0);
});

tap.test("new work is to be refused before reservations are evicted", async (t) => {
  const budget = new ByteBudget(100);
  const body = budget.open({ holder: ByteHolder.CallerBodies });
  body.grow(75);
  t.ok(budget.hasRoomFor(0));
  body.grow(1);
  t.notOk(budget.hasRoomFor(0));
});

tap.test("calls and received bytes have room of their own, and evict together", async (t) => {
  const budget = new ByteBudget(100);
  const calls = budget.open({ holder: ByteHolder.Calls });
  calls.grow(75);
  t.ok(budget.hasRoomFor(75));
  t.ok(budget.hasRoomForCalls);
  calls.grow(1);
  t.notOk(budget.hasRoomForCalls, "no further calls are to be taken");
  t.equal(budget.receivedBytes, 0);
  const answer = budget.open({ holder: ByteHolder.ServerAnswers, onEvicted: () => undefined });
  answer.grow(25);
  t.ok(answer.hasEnded, "the sum exceeds the limit");
});

tap.test("the largest evictable reservations end while the limit is exceeded", async (t) => {
  const budget = new ByteBudget(100);
  const evicted: string[] = [];
  const open = (name: string): byteBudgets.ByteReservation =>
    budget.open({ holder: ByteHolder.ServerAnswers, onEvicted: () => evicted.push(name) });
  const kept = budget.open({ holder: ByteHolder.Peers });
  const small = open("small");
  const large = open("large");
  const larger = open("larger");
  small.grow(10);
  large.grow(30);
  larger.grow(40);
  kept.grow(20);
  t.same(evicted, []);
  small.grow(35);
  t.same(evicted, ["small"], "it is the largest by then, although it is the one that grows");
  kept.grow(60);
  t.same(evicted, ["small", "larger", "large"]);
  t.ok(large.hasEnded);
  t.equal(budget.usedBytes, 80, "what cannot be evicted stays");
  t.equal(budget.evictionsOf(ByteHolder.ServerAnswers), 3);
  kept.grow(60);
  t.equal(budget.usedBytes, 140);
});

tap.test("the largest reservation of one party can be evicted for it alone", async (t) => {
  const budget = new ByteBudget(100);
  const evicted: string[] = [];
  const open = (holder: byteBudgets.ByteHolder, name: string): byteBudgets.ByteReservation =>
    budget.open({ holder, onEvicted: () => evicted.push(name) });
  open(ByteHolder.Peers, "peer").grow(50);
  open(ByteHolder.ServerAnswers, "small").grow(10);
  open(ByteHolder.ServerAnswers, "large").grow(20);
  t.notOk(budget.hasRoomFor(0));
  t.ok(budget.evictLargest(ByteHolder.ServerAnswers));
  t.same(evicted, ["large"]);
  t.ok(budget.hasRoomFor(15));
  t.notOk(budget.hasRoomFor(16));
  t.ok(budget.evictLargest(ByteHolder.ServerAnswers));
  t.notOk(budget.evictLargest(ByteHolder.ServerAnswers), "there is none left");
  t.equal(budget.heldFor(ByteHolder.Peers), 50);
});
