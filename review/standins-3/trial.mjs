// Runs a case: collects what it records, ends what it started, and turns the finding into an exit code.
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const TIME_LIMIT_MS = 110_000;

export const hasTrouble = process.env.TROUBLE !== "0";

export const pause = (durationMs) => new Promise((resolve) => setTimeout(resolve, durationMs));

/**
 * Runs a trial, which returns the breaches of the rule that it has seen, and throws if it could not run.
 *
 * @param {string} directory - folder of the case, for record.txt
 */
export async function runTrial(directory, trial) {
  const startedAtMs = Date.now();
  const lines = [`disruption: ${hasTrouble ? "yes" : "no (TROUBLE=0)"}`];
  const record = (text) => lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3)} ${text}`);
  const cleanUps = [];
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chiveferry-review-"));
  let finished = false;
  const finish = (code, text) => {
    if (finished) return;
    finished = true;
    record(text);
    for (const cleanUp of cleanUps.reverse()) cleanUp();
    fs.writeFileSync(path.join(directory, "record.txt"), `${lines.join("\n")}\n`);
    fs.rmSync(folder, { recursive: true, force: true });
    process.stdout.write(`${text}\n`);
    process.exit(code);
  };
  setTimeout(() => finish(NOT_RUN, "not run: time limit"), TIME_LIMIT_MS);
  for (const signal of ["SIGINT", "SIGTERM"])
    process.once(signal, () => finish(NOT_RUN, `not run: ${signal}`));
  try {
    const breaches = await trial({ record, folder, onEnd: (cleanUp) => cleanUps.push(cleanUp) });
    if (breaches.length === 0) finish(HELD, "held");
    else finish(BROKEN, `broken: ${breaches.join("; ")}`);
  } catch (error) {
    finish(NOT_RUN, `not run: ${error instanceof Error ? error.stack : String(error)}`);
  }
}

/** Throws if a condition without which the trial shows nothing is not met. */
export function require(condition, text) {
  if (!condition) throw new Error(text);
}
