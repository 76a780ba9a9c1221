import * as childProcess from "node:child_process";

import type { Test } from "tap";

import * as startedPrograms from "../../../../standins/platform/startedProgram/index.js";

const GUARD_URL = new URL("../../processGuard/index.js", import.meta.url).href;
const PROCESSES_URL = new URL("../../index.js", import.meta.url).href;

/** Starts a process whose program has a `guard`, and the module `processes`; for tests. */
export function start(t: Test, program: string): startedPrograms.StartedProgram {
  const text = `
    import * as processGuards from "${GUARD_URL}";
    const guard = new processGuards.ProcessGuard("guarded");
    const processes = await import("${PROCESSES_URL}");
    ${program}
  `;
  const child = childProcess.spawn(process.execPath, ["--input-type=module", "-e", text], {
    stdio: ["ignore", "pipe", "pipe"],
  });
  t.teardown(() => child.kill("SIGKILL"));
  return new startedPrograms.StartedProgram(child);
}
