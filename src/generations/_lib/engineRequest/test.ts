import tap from "tap";

import * as callers from "../../../../standins/vms/caller/index.js";
import * as vms from "../../../../standins/vms/index.js";

const SHORT_ANSWER_TOKENS = 10;
const LONG_ANSWER_TOKENS = 600;

/** Number of short answers that make the home's length forecast short. */
const LEARNED_ANSWERS_COUNT = 60;

tap.test("runs are suspended evenly: none twice while another was never suspended", async (t) => {
  await using group = new vms.VmGroup({
    vms: { a: "dc1", b: "dc1" },
    engines: { e1: "dc1" },
    engineOptions: { capacityTokens: 2_000, lengthOf: () => lengthTokens },
  });
  let lengthTokens = SHORT_ANSWER_TOKENS;
  for (let count = 0; count < LEARNED_ANSWERS_COUNT; count += 1) {
    await callers.startGenerationAt(group, "a", { maxTokens: LONG_ANSWER_TOKENS });
  }
  lengthTokens = LONG_ANSWER_TOKENS;
  const started = ["a", "b", "a", "b", "a", "b"].map((vmName) => {
    const requestId = group.vm(vmName).service.createRequestId();
    const caller = new callers.Caller(group, requestId);
    void caller.submit(vmName, { maxTokens: LONG_ANSWER_TOKENS });
    return caller;
  });
  await group.clock.runForMs(120_000);
  const suspensions = started.map(
    (caller) =>
      [...group.vms.values()]
        .flatMap((vm) => vm.tracer.trace(caller.requestId))
        .filter((event) => event.step === "engine.suspended").length,
  );
  t.ok(Math.max(...suspensions) > 0, `suspended: ${suspensions.join(", ")}`);
  const spread = Math.max(...suspensions) - Math.min(...suspensions);
  t.ok(spread <= 1, "suspension counts differ by at most one");
  t.same(
    started.map((caller) => caller.tokens.length),
    started.map(() => LONG_ANSWER_TOKENS),
    "all generations are complete",
  );
});
