import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as path from "node:path";
import * as util from "node:util";

/** Name of the folders with the properties of what comes in from outside. */
const PROPERTIES_FOLDER = "spoiledInput";

const BUILD_FOLDER = path.resolve(import.meta.dirname, "../../..");

/** Characters of a failing test's output that are reported; what has failed stands at its end. */
const MAX_REPORT_LENGTH = 6_000;

const execute = util.promisify(childProcess.execFile);

/**
 * Runs the properties of all decoders of outside bytes, which stand beside the decoders as tests, with other random
 * cases; returns the output of those that fail, or null.
 */
export async function fuzzDecoders(runsCount: number, seed: number): Promise<string | null> {
  const failures: string[] = [];
  for (const file of listPropertyFiles()) {
    const environment = { ...process.env, FUZZ_RUNS: String(runsCount), FUZZ_SEED: String(seed) };
    const options = { env: environment, maxBuffer: Infinity };
    const output = await execute(process.execPath, [file], options).then(() => null, readOutput);
    if (output !== null)
      failures.push(`${path.relative(BUILD_FOLDER, file)}\n${cutReport(output)}`);
  }
  return failures.length === 0 ? null : failures.join("\n");
}

/** Lists the test files with properties. */
export function listPropertyFiles(): readonly string[] {
  return ["platform", "src"]
    .flatMap((folder) => listFiles(path.join(BUILD_FOLDER, folder)))
    .filter((file) => file.endsWith(path.join(PROPERTIES_FOLDER, "test.js")))
    .sort();
}

function listFiles(folder: string): readonly string[] {
  return fs
    .readdirSync(folder, { recursive: true, encoding: "utf8" })
    .map((name) => path.join(folder, name));
}

/** Reads the output of a process that has failed. */
function readOutput(error: unknown): string {
  return (error as { readonly stdout: string }).stdout;
}

function cutReport(text: string): string {
  const failingAt = Math.max(0, text.indexOf("not ok"));
  return text.slice(failingAt, failingAt + MAX_REPORT_LENGTH);
}
