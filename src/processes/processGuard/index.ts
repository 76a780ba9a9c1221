import * as os from "node:os";

// Not the package's index, which loads the log's library: the handlers are to be installed before that.
import * as diagnosticTypes from "../../diagnostics/types.js";
import * as processOutput from "../processOutput/index.js";

const { LogEvent } = diagnosticTypes;

/** Signals that request a graceful shutdown. */
const STOP_SIGNALS = ["SIGTERM", "SIGINT"] as const;

/** Signal after which the settings file is to be checked. */
const RELOAD_SIGNAL = "SIGHUP";

/**
 * Signals that would end the process, and order nothing here. Left out are those that report a fault of the
 * process itself (such as SIGSEGV or SIGSYS), and SIGPIPE, which Node ignores.
 */
const OTHER_SIGNALS = [
  "SIGQUIT",
  "SIGUSR1", // Node would open a debugger's port.
  "SIGUSR2",
  "SIGALRM",
  "SIGVTALRM",
  "SIGPROF",
  "SIGIO",
  "SIGXCPU",
  "SIGXFSZ",
  "SIGPWR",
  "SIGSTKFLT",
] as const;

/** Longest delay of a timer; the timer exists only to keep the event loop alive. */
const KEEP_ALIVE_INTERVAL_MS = 2 ** 31 - 1;

/** Maximum length of an error in a log line; a longer one is cut. */
const MAX_ERROR_LENGTH = 2_000;

/** Level of a change of the process's own state, as in the decision log. */
const LOG_LEVEL = 40;

/** What is done on the events of the process. */
export interface ProcessListeners {
  /** Begins to stop the process; called at each SIGTERM or SIGINT. */
  readonly stop: (signal: string) => void;
  readonly reload: () => void;
  readonly record: (event: diagnosticTypes.LogEvent, fields: diagnosticTypes.LogFields) => void;
  readonly recordError: (error: unknown) => void;
}

/**
 * Keeps the process from ending except by an order: handles signals and unhandled errors from its creation on,
 * which is to be the first instruction of the program.
 */
export class ProcessGuard {
  private listeners: ProcessListeners = {
    stop: (signal) => {
      this.record(LogEvent.Stopped, { signal, cutCount: 0 });
      process.exit(0);
    },
    // The settings are read later anyway.
    reload: () => this.record(LogEvent.SignalReceived, { signal: RELOAD_SIGNAL }),
    record: (event, fields) => this.writeLine(event, fields),
    recordError: (error) =>
      this.writeLine(LogEvent.InternalError, { origin: "unhandled", error: describe(error) }),
  };

  /**
   * @param programName - field "name" of its lines
   * @param write - writes its lines
   */
  constructor(
    private readonly programName: string,
    private readonly write: processOutput.WriteBytes = processOutput.writeToStdout,
  ) {
    for (const signal of STOP_SIGNALS) process.on(signal, () => this.listeners.stop(signal));
    process.on(RELOAD_SIGNAL, () => this.listeners.reload());
    for (const signal of OTHER_SIGNALS) this.ignore(signal);
    process.on("uncaughtException", (error) => this.recordError(error));
    process.on("unhandledRejection", (error) => this.recordError(error));
    // Otherwise the process ends when nothing else is open, also amid an `await` of the program.
    setInterval(() => undefined, KEEP_ALIVE_INTERVAL_MS);
    this.record(LogEvent.ProcessStarted, { startupMs: Math.round(performance.now()) });
  }

  /** Replaces the given listeners. */
  delegate(listeners: Partial<ProcessListeners>): void {
    this.listeners = { ...this.listeners, ...listeners };
  }

  record(event: diagnosticTypes.LogEvent, fields: diagnosticTypes.LogFields): void {
    this.listeners.record(event, fields);
  }

  /** Reports an error; an error of the report itself is dropped, as it would end the process. */
  recordError(error: unknown): void {
    try {
      this.listeners.recordError(error);
    } catch {
      // Nothing is left that could report it.
    }
  }

  private ignore(signal: (typeof OTHER_SIGNALS)[number]): void {
    try {
      process.on(signal, () => this.record(LogEvent.SignalReceived, { signal }));
    } catch {
      // Not every system knows each signal.
    }
  }

  /** Writes a line in the form of the decision log; a line that cannot be written is dropped. */
  private writeLine(event: diagnosticTypes.LogEvent, fields: diagnosticTypes.LogFields): void {
    const line = {
      name: this.programName,
      vm: "",
      dataCentre: "",
      hostname: os.hostname(),
      pid: process.pid,
      level: LOG_LEVEL,
      event,
      ...fields,
      msg: event,
      time: new Date().toISOString(),
      v: 0,
    };
    this.write(Buffer.from(`${JSON.stringify(line)}\n`), () => undefined);
  }
}

/** Describes anything that can be thrown, also objects that have no text. */
function describe(error: unknown): string {
  try {
    const text = error instanceof Error ? (error.stack ?? error.message) : error;
    return String(text).slice(0, MAX_ERROR_LENGTH);
  } catch {
    return "an error without a text";
  }
}
