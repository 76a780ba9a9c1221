import * as commander from "commander";

import * as runScenarioFile from "./runScenarioFile/index.js";

interface MainOptions {
  readonly update?: boolean;
}

async function runFiles(files: readonly string[], options: MainOptions): Promise<void> {
  const writeLine = (text: string): void => void process.stdout.write(`${text}\n`);
  let failedCount = 0;
  for (const file of files) {
    writeLine(file);
    const isUpdate = options.update === true;
    const verdict = await runScenarioFile.runScenarioFile(file, { isUpdate, writeLine });
    if (verdict !== runScenarioFile.FileVerdict.Passed) failedCount += 1;
    writeLine(`${file}: ${verdict}`);
  }
  writeLine(`${files.length - failedCount} passed, ${failedCount} failed`);
  process.exitCode = failedCount === 0 ? 0 : 1;
}

const program = new commander.Command("scenario")
  .description("runs scenario files and compares each session with its golden file")
  .argument("<files...>")
  .option("--update", "update the golden files")
  .action(runFiles);

await program.parseAsync();
