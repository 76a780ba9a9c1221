import * as commander from "commander";

import * as clocks from "../../_lib/clock/index.js";
import * as processes from "../../processes/index.js";
import * as settings from "../../settings/index.js";
import * as startWaits from "../_lib/startWaits.js";
import * as constants from "../constants.js";
import * as createDaemon from "../createDaemon/index.js";

/** Time after the grace period in which the daemon closes its parts. */
const CLOSE_TIMEOUT_MS = 2_000;

/** Runs the daemon as the command line orders; the guard passes it the orders that arrive from then on. */
export async function runDaemon(guard: processes.ProcessGuard): Promise<void> {
  // Errors of the standard streams, such as a reader that has gone, concern the log alone.
  for (const stream of [process.stdout, process.stderr]) stream.on("error", () => undefined);
  const program = new commander.Command("chiveferryd")
    .description("serves generations and calls on one VM")
    .requiredOption("--settings <file>", "settings, YAML")
    .action((options: { settings: string }) => run(options.settings, guard));
  await program.parseAsync();
}

async function run(path: string, guard: processes.ProcessGuard): Promise<void> {
  const clock = new clocks.SystemClock();
  const file: processes.SettingsFile<settings.Settings> = {
    path,
    load: async () => (await settings.loadSettings(path)).mapErr(settings.formatSettingsErrors),
  };
  guard.delegate({ reload: () => void processes.validateSettings(file, guard) });
  const options = await processes.awaitSettings(file, { guard, clock });
  const stopping = new AbortController();
  const starting = createDaemon.createDaemon(options, {
    waits: startWaits.createWaits(guard, clock, stopping.signal),
  });
  const { balancerNoticeMs, graceMs } = options.shutdown;
  let isWorkLost = false;
  const stop = async (): Promise<void> => {
    stopping.abort();
    // A start that waits for an address ends; it has accepted nothing from callers.
    const daemon = await starting.catch(() => null);
    if (daemon === null) return;
    isWorkLost = true;
    const isComplete = await daemon.leave();
    isWorkLost = !isComplete;
    if (isWorkLost) process.stderr.write(`grace period over; lost: ${daemon.describeHeld()}\n`);
    await daemon[Symbol.asyncDispose]();
  };
  guard.delegate({
    stop: processes.createStop(guard, {
      graceMs: balancerNoticeMs + graceMs + CLOSE_TIMEOUT_MS,
      stop,
      exitCode: () => (isWorkLost ? constants.EXIT_CODE_WORK_LOST : 0),
    }),
  });
  try {
    const { callerUrl, adminUrl } = await starting;
    process.stdout.write(`callers: ${callerUrl}\nadmin: ${adminUrl}\n`);
  } catch (error) {
    // A stop ends the wait for an address.
    if (!stopping.signal.aborted) throw error;
  }
}
