#!/usr/bin/env node
import * as commander from "commander";

import * as settings from "../settings/index.js";
import * as constants from "./constants.js";
import * as createDaemon from "./createDaemon/index.js";
import type * as daemons from "./daemon/index.js";

const program = new commander.Command("chiveferryd")
  .description("serves generations and calls on one VM")
  .requiredOption("--settings <file>", "settings, YAML")
  .action((options: { settings: string }) => run(options.settings));
await program.parseAsync();

async function run(file: string): Promise<void> {
  const loaded = await settings.loadSettings(file);
  if (loaded.isErr()) {
    process.stderr.write(`${settings.formatSettingsErrors(loaded.error)}\n`);
    process.exitCode = settings.EXIT_CODE_INVALID_SETTINGS;
    return;
  }
  try {
    const daemon = await createDaemon.createDaemon(loaded.value);
    process.stdout.write(`callers: ${daemon.callerUrl}\nadmin: ${daemon.adminUrl}\n`);
    leaveOnSignal(daemon);
  } catch (error) {
    const reason = error instanceof Error ? error.message : "unknown failure";
    process.stderr.write(`daemon.start: ${reason}\n`);
    process.exitCode = constants.EXIT_CODE_START_FAILED;
  }
}

/** Shuts down gracefully on the first signal; on a second, prints the lost work and exits. */
function leaveOnSignal(daemon: daemons.Daemon): void {
  let isLeaving = false;
  const onSignal = (): void => {
    if (isLeaving) {
      process.stderr.write(`stopped at once; lost: ${daemon.describeHeld() || "nothing"}\n`);
      process.exit(constants.EXIT_CODE_WORK_LOST);
    }
    isLeaving = true;
    void leave(daemon);
  };
  process.on("SIGTERM", onSignal);
  process.on("SIGINT", onSignal);
}

async function leave(daemon: daemons.Daemon): Promise<void> {
  const isComplete = await daemon.leave();
  const held = daemon.describeHeld();
  await daemon[Symbol.asyncDispose]();
  if (!isComplete) process.stderr.write(`grace period over; lost: ${held}\n`);
  process.exit(isComplete ? 0 : constants.EXIT_CODE_WORK_LOST);
}
