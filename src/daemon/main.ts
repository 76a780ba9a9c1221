#!/usr/bin/env node
import * as processGuards from "../processes/processGuard/index.js";
import * as processOutput from "../processes/processOutput/index.js";
import * as constants from "./constants.js";

/** Ends the process after a defect during the start; missing settings and ports in use are retried instead. */
function abandonStart(error: unknown): never {
  const reason = error instanceof Error ? error.message : "unknown failure";
  process.stderr.write(`daemon.start: ${reason}\n`);
  process.exit(constants.EXIT_CODE_START_FAILED);
}

// First of all: loading the daemon takes hundreds of milliseconds, in which signals and errors arrive, too.
const guard = new processGuards.ProcessGuard("chiveferryd", processOutput.writeToStderr);
await import("./runDaemon/index.js").then(({ runDaemon }) => runDaemon(guard)).catch(abandonStart);
