import * as bunyan from "bunyan";

/** A bunyan logger. */
export type Logger = ReturnType<typeof bunyan.default.createLogger>;

/** Level and destination of a logger, and the VM name that each line contains. */
export interface LoggerOptions {
  readonly vmName: string;
  readonly level: bunyan.LogLevelString;
  /** Path of a file, "stdout" or "stderr"; null disables logging. */
  readonly destination: string | null;
}

/** Creates the logger of a daemon. */
export function createLogger(options: LoggerOptions): Logger {
  return bunyan.default.createLogger({
    name: "chiveferryd",
    vm: options.vmName,
    streams: createStreams(options),
  });
}

function createStreams({ destination, level }: LoggerOptions): bunyan.Stream[] {
  if (destination === null) return [];
  if (destination === "stdout") return [{ level, stream: process.stdout }];
  if (destination === "stderr") return [{ level, stream: process.stderr }];
  return [{ level, path: destination }];
}
