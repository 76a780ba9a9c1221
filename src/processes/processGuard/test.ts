import * as timers from "node:timers/promises";

import tap from "tap";

import * as guardedPrograms from "../_lib/guardedProgram/index.js";

/** Far more than an idle process takes to end. */
const IDLE_MS = 500;

// Guards against the end of a process that waits for something that holds no handle of the event loop.
for (const [name, program] of Object.entries({
  "has nothing to do": "",
  "waits for ever": "await new Promise(() => undefined);",
})) {
  tap.test(`a process that ${name} runs on until it is told to stop`, async (t) => {
    const started = guardedPrograms.start(t, `guard.record("started", {}); ${program}`);
    await started.waitForLine("started");
    await timers.setTimeout(IDLE_MS);
    t.equal(started.end, null);
    started.child.kill("SIGTERM");
    t.match(await started.ended, { code: 0, signal: null });
    await started.waitForLine("stopped", { signal: "SIGTERM", name: "guarded" });
  });
}

// Guards against the end of a process by an error that has no text.
tap.test("anything that is thrown is reported, and the process runs on", async (t) => {
  const program = `
    setTimeout(() => { throw new Error("thrown"); });
    setTimeout(() => { throw Object.create(null); });
    void Promise.reject(undefined);
  `;
  const started = guardedPrograms.start(t, program);
  for (const error of ["undefined", "an error without a text"]) {
    await started.waitForLine("internal-error", { error });
  }
  t.ok(started.lines.some(({ error }) => String(error).startsWith("Error: thrown")));
  t.equal(started.end, null);
});
