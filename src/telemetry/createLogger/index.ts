import * as bunyan from "bunyan";

/** The process's logger. */
export type Logger = ReturnType<typeof bunyan.default.createLogger>;

/** Where log lines go; without a destination nothing is logged. */
export interface LoggerOptions {
  readonly vmName: string;
  readonly level: bunyan.LogLevelString;
  /** A file's path, "stdout" or "stderr"; null switches logging off. */
  readonly destination: string | null;
}

/** Creates the process's logger. */
export function createLogger(options: LoggerOptions): Logger {
  return bunyan.default.createLogger({
    name: "chiveferryd",
    vm: options.vmName,
    streams: streamsOf(options),
  });
}

function streamsOf({ destination, level }: LoggerOptions): bunyan.Stream[] {
  if (destination === null) return [];
  if (destination === "stdout") return [{ level, stream: process.stdout }];
  if (destination === "stderr") return [{ level, stream: process.stderr }];
  return [{ level, path: destination }];
}
