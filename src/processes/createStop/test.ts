import tap from "tap";

import * as guardedPrograms from "../_lib/guardedProgram/index.js";

const GRACE_MS = 400;

/** Text of a program that stops as given. */
const stopBy = (stop: string, exitCode = 0, graceMs = GRACE_MS): string => `
  const stop = processes.createStop(guard, {
    graceMs: ${graceMs}, exitCode: () => ${exitCode}, stop: ${stop},
  });
  guard.delegate({ stop });
  guard.record("started", {});
`;

// Guards against a process that is killed because its stop never ends.
tap.test("a stop that hangs ends with its grace period", async (t) => {
  const program = guardedPrograms.start(t, stopBy("() => new Promise(() => undefined)", 75));
  await program.waitForLine("started");
  const startedAtMs = performance.now();
  program.child.kill("SIGTERM");
  program.child.kill("SIGINT");
  t.match(await program.ended, { code: 75, signal: null });
  const tookMs = performance.now() - startedAtMs;
  t.ok(tookMs > GRACE_MS / 2, `its calls have the grace period: ${tookMs} ms`);
});

// Guards against calls that are cut off because the stop meets a defect.
for (const [name, stop] of Object.entries({
  rejects: '() => Promise.reject(new Error("a defect"))',
  throws: '() => { throw new Error("a defect"); }',
})) {
  tap.test(`a stop that ${name} is reported, and ends with its grace period`, async (t) => {
    const program = guardedPrograms.start(t, stopBy(stop));
    await program.waitForLine("started");
    const startedAtMs = performance.now();
    program.child.kill("SIGTERM");
    t.match((await program.waitForLine("internal-error")).error, "a defect");
    t.match(await program.ended, { code: 0, signal: null });
    const tookMs = performance.now() - startedAtMs;
    t.ok(tookMs > GRACE_MS / 2, `its calls have the grace period: ${tookMs} ms`);
  });
}

tap.test("a stop that is done ends the process at once", async (t) => {
  const program = guardedPrograms.start(t, stopBy("() => Promise.resolve()"));
  await program.waitForLine("started");
  program.child.kill("SIGTERM");
  t.match(await program.ended, { code: 0, signal: null });
});

// Guards against a stop that ends at once because its grace period is longer than any timer of Node.
tap.test("a stop has a grace period of any length", async (t) => {
  const stop = `() => new Promise((resolve) => setTimeout(resolve, ${GRACE_MS}))`;
  const program = guardedPrograms.start(t, stopBy(stop, 0, 1e12));
  await program.waitForLine("started");
  const startedAtMs = performance.now();
  program.child.kill("SIGTERM");
  t.match(await program.ended, { code: 0, signal: null });
  const tookMs = performance.now() - startedAtMs;
  t.ok(tookMs > GRACE_MS / 2, `${tookMs} ms`);
});
