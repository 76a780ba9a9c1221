import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as diagnostics from "../../../diagnostics/index.js";
import * as routing from "../../../routing/index.js";
import * as shutdownAdmissions from "./index.js";

const ROUTE = {
  ...{ name: "file", kind: routing.RouteKind.OnceOnly, timeoutMs: 20_000, objectiveMs: 2_000 },
} as routing.Route;

function create(): {
  admission: shutdownAdmissions.ShutdownAdmission;
  clock: virtualClocks.VirtualClock;
  events: { event: string; fields: diagnostics.LogFields }[];
  closing: AbortController;
  stop: () => void;
} {
  const clock = new virtualClocks.VirtualClock();
  const events: { event: string; fields: diagnostics.LogFields }[] = [];
  const closing = new AbortController();
  let timeToStopMs: number | null = null;
  const log: diagnostics.DecisionLog = {
    record: (_importance, event, fields) => void events.push({ event, fields }),
  };
  const admission = new shutdownAdmissions.ShutdownAdmission({
    ports: { clock, log, meters: new diagnostics.Meters() },
    getTimeToStopMs: () => timeToStopMs,
    vmClosing: closing.signal,
  });
  return { admission, clock, events, closing, stop: () => (timeToStopMs = 7_600) };
}

tap.test("a VM that does not stop takes calls of any length", (t) => {
  const { admission, stop } = create();
  t.notOk(admission.isTooLate(ROUTE));
  stop();
  t.ok(admission.isTooLate(ROUTE), "how long they take is not known");
  t.notOk(admission.isTooLate({ ...ROUTE, objectiveMs: 400 }), "but they are to be short");
  t.end();
});

tap.test("only calls whose bodies are on their way are refused early", (t) => {
  const { admission, stop } = create();
  const refused: string[] = [];
  admission.begin("body-on-its-way", ROUTE, 0, () => refused.push("body-on-its-way"));
  const call = admission.begin("received", ROUTE, 0, () => refused.push("received"));
  call.receivedAtMs = 0;
  admission.refuseLateBodies();
  t.same(refused, [], "not as long as the VM does not stop");
  stop();
  admission.refuseLateBodies();
  t.same(refused, ["body-on-its-way"], "a server may run the other one");
  t.end();
});

// Guards against calls that a stopping VM cuts off without a trace.
tap.test("calls that a stopping VM cannot finish are logged, with their age", async (t) => {
  const { admission, clock, closing, events, stop } = create();
  const ended = admission.begin("ended", ROUTE, 0, () => undefined);
  admission.begin("early", ROUTE, 0, () => undefined);
  await clock.runForMs(300);
  stop();
  admission.begin("late", ROUTE, 300, () => undefined);
  admission.end(ended, 200);
  await clock.runForMs(700);
  closing.abort();
  t.match(events, [
    { event: "call-unfinished", fields: { requestId: "early", arrival: "before", ageMs: 1_000 } },
    { event: "call-unfinished", fields: { requestId: "late", arrival: "while-stopping" } },
  ]);
  t.equal(events.length, 2);
});
