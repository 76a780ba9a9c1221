import * as fs from "node:fs/promises";
import * as path from "node:path";

import * as yamlFile from "../../src/_lib/yamlFile/index.js";
import * as parseScenario from "../parseScenario/index.js";
import * as runScenario from "../runScenario/index.js";
import type * as types from "../types.js";

const GOLDEN_FOLDER = "golden";

/** The result of running a scenario file. */
export enum FileVerdict {
  Passed = "passed",
  /** The file is invalid; nothing was run. */
  Invalid = "invalid",
  StepFailed = "step failed",
  /** The session differs from the golden file. */
  Differs = "differs from its golden file",
}

/** Whether to update golden files, and where to write progress. */
export interface FileOptions {
  readonly isUpdate: boolean;
  readonly writeLine: (text: string) => void;
}

/** Runs a scenario file and compares the session with its golden file, or updates that file. */
export async function runScenarioFile(file: string, options: FileOptions): Promise<FileVerdict> {
  const parsed = parseScenario.parseScenario(await fs.readFile(file, "utf8"), file);
  if (parsed.isErr()) {
    for (const problem of parsed.error) options.writeLine(yamlFile.formatYamlProblem(problem));
    return FileVerdict.Invalid;
  }
  const { scenario } = parsed.value;
  const report = await runScenario.runScenario(scenario, (step) => {
    options.writeLine(describeStep(step));
  });
  if (report.steps.some((step) => step.failure !== null)) return FileVerdict.StepFailed;
  if (!scenario.golden) return FileVerdict.Passed;
  const goldenFile = getGoldenFile(file);
  if (options.isUpdate) await writeGolden(goldenFile, report.session);
  return compareWithGolden(goldenFile, report.session, options);
}

function describeStep(step: types.StepReport): string {
  const result = step.failure === null ? "ok" : `FAILED: ${step.failure}`;
  return `  ${step.number}. ${step.name}: ${result}`;
}

async function compareWithGolden(
  goldenFile: string,
  session: string,
  options: FileOptions,
): Promise<FileVerdict> {
  const golden = await readIfExists(goldenFile);
  if (golden === session) return FileVerdict.Passed;
  const expected = golden.split("\n");
  const found = session.split("\n");
  for (const line of expected.filter((text) => !found.includes(text))) {
    options.writeLine(`  - ${line}`);
  }
  for (const line of found.filter((text) => !expected.includes(text))) {
    options.writeLine(`  + ${line}`);
  }
  return FileVerdict.Differs;
}

async function writeGolden(goldenFile: string, session: string): Promise<void> {
  await fs.mkdir(path.dirname(goldenFile), { recursive: true });
  await fs.writeFile(goldenFile, session);
}

async function readIfExists(file: string): Promise<string> {
  try {
    return await fs.readFile(file, "utf8");
  } catch {
    return "";
  }
}

function getGoldenFile(file: string): string {
  const { dir, name } = path.parse(file);
  return path.join(dir, GOLDEN_FOLDER, `${name}.txt`);
}
