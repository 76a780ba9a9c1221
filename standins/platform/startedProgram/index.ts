import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";
import type { Readable } from "node:stream";
import * as timers from "node:timers/promises";

/** Ports of a program; they are equal everywhere, as each program has its own loopback address. */
export const PORTS = { callers: 18_740, readiness: 18_749, peers: 17_200, metrics: 9_464 };

/** Limits on the heap of the program, as in the deployment. */
const HEAP_OPTIONS = ["--max-old-space-size=110", "--max-semi-space-size=8"];

/** Unit in which a pipe is filled; a pipe that takes none of it takes no line either. */
const PIPE_PAGE_BYTES = 4_096;

const POLL_INTERVAL_MS = 5;

/** Ends a wait for a line that never comes; far more than any start takes. */
const LINE_TIMEOUT_MS = 20_000;

/** How a process has ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** A line of the log; fields vary by event. */
export type LoggedLine = Readonly<Record<string, unknown>> & { readonly event: string };

/** The deployed program, bundled into a temporary folder, and processes of it. */
export class BundledProgram implements Disposable {
  readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), "chiveferry-program-"));
  readonly settingsFile = path.join(this.folder, "settings.json");
  private readonly entryFile = path.join(this.folder, "gateway.cjs");
  private readonly children: childProcess.ChildProcess[] = [];

  constructor(
    /** Loopback address, derived from the process id so that tests that run in parallel do not share ports. */
    readonly host = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}.1`,
  ) {
    childProcess.execFileSync(process.execPath, [
      "deploy/bundle.js",
      this.entryFile,
      path.join(this.folder, "gateway.mjs"),
    ]);
    this.writeSettings();
  }

  /** The content of a complete and valid settings file. */
  createSettings(): Record<string, unknown> {
    const { callers, readiness, peers } = PORTS;
    return {
      node_name: "vm-1",
      ip: this.host,
      zone: "dc-a",
      listen: { frontend: `${this.host}:${callers}`, ready: `${this.host}:${readiness}` },
      internal_ports: [peers],
      limits: { cpu_share: 1, cores: 1, memory_mb: 200 },
      bounds: {
        grace_s: 8,
        revoke_ms: 5_000,
        config_apply_ms: 2_000,
        retry_budget_ratio: 0.2,
        retry_window_s: 10,
        retry_slack: 54,
      },
      // Nothing listens there; the gateway runs on without its store.
      platform: { address: `${this.host}:1` },
    };
  }

  /** Writes the settings file, by default a valid one. */
  writeSettings(text = JSON.stringify(this.createSettings())): void {
    fs.writeFileSync(this.settingsFile, text);
  }

  /** Starts a process of the program. */
  start(): StartedProgram {
    const child = childProcess.spawn(process.execPath, this.args, {
      env: this.environment,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.children.push(child);
    return new StartedProgram(child);
  }

  /** Starts a process of the program that may open few files, among them its connections. */
  startWithFewFiles(filesCount: number): StartedProgram {
    const command = ["-c", `ulimit -n ${filesCount}; exec "$0" "$@"`, process.execPath];
    const child = childProcess.spawn("/bin/sh", [...command, ...this.args], {
      env: this.environment,
      stdio: ["ignore", "pipe", "pipe"],
    });
    this.children.push(child);
    return new StartedProgram(child);
  }

  /** Starts a process of the program whose log goes to a full pipe that nobody reads. */
  startUnread(): childProcess.ChildProcess {
    const pipe = path.join(this.folder, `log-${this.children.length}`);
    childProcess.execFileSync("mkfifo", [pipe]);
    // Two openings, as the flag that keeps a write from blocking belongs to one.
    const filler = fs.openSync(pipe, fs.constants.O_RDWR | fs.constants.O_NONBLOCK);
    const log = fs.openSync(pipe, "r+");
    fillPipe(filler);
    // The test runner's NODE_OPTIONS load its hooks, which make stdout non-blocking.
    const command = ["-u", "NODE_OPTIONS", process.execPath, ...this.args];
    const child = childProcess.spawn("/usr/bin/env", command, {
      env: this.environment,
      stdio: ["ignore", log, "ignore"],
    });
    for (const descriptor of [filler, log]) child.once("exit", () => fs.closeSync(descriptor));
    this.children.push(child);
    return child;
  }

  [Symbol.dispose](): void {
    for (const child of this.children) child.kill("SIGKILL");
    fs.rmSync(this.folder, { recursive: true });
  }

  private get args(): string[] {
    return [...HEAP_OPTIONS, this.entryFile];
  }

  private get environment(): NodeJS.ProcessEnv {
    return { CHIVEFERRY_CONFIG: this.settingsFile };
  }
}

/** Writes until the pipe takes no more. */
function fillPipe(descriptor: number): void {
  try {
    for (;;) fs.writeSync(descriptor, Buffer.alloc(PIPE_PAGE_BYTES));
  } catch (error) {
    if ((error as NodeJS.ErrnoException).code !== "EAGAIN") throw error;
  }
}

/** A process of the program. */
export class StartedProgram {
  /** Lines of the log so far. */
  readonly lines: LoggedLine[] = [];
  /** Resolves when the process has ended. */
  readonly ended: Promise<ProcessEnd>;
  /** How the process has ended; null while it runs. */
  end: ProcessEnd | null = null;
  private unfinishedLine = "";

  /**
   * @param log - the stream of the child that its log goes to
   */
  constructor(
    readonly child: childProcess.ChildProcessByStdio<null, Readable, Readable>,
    log = child.stdout,
  ) {
    log.on("data", (chunk: Buffer) => this.read(chunk.toString()));
    for (const stream of [child.stdout, child.stderr]) stream.resume();
    this.ended = new Promise((resolve) =>
      child.once("close", (code, signal) => {
        this.end = { code, signal };
        resolve(this.end);
      }),
    );
  }

  /** Waits for a log line of an event; rejects if the process ends first, or after `LINE_TIMEOUT_MS`. */
  async waitForLine(
    event: string,
    fields: Readonly<Record<string, unknown>> = {},
  ): Promise<LoggedLine> {
    const endsAtMs = performance.now() + LINE_TIMEOUT_MS;
    for (;;) {
      const found = this.lines.find(
        (line) =>
          line.event === event &&
          Object.entries(fields).every(([name, value]) => line[name] === value),
      );
      if (found !== undefined) return found;
      if (this.end !== null || performance.now() > endsAtMs) {
        throw new Error(`no "${event}": ${JSON.stringify({ ...this.end, lines: this.lines })}`);
      }
      await timers.setTimeout(POLL_INTERVAL_MS);
    }
  }

  private read(text: string): void {
    const parts = `${this.unfinishedLine}${text}`.split("\n");
    this.unfinishedLine = parts.pop() ?? "";
    for (const part of parts) this.lines.push(JSON.parse(part) as LoggedLine);
  }
}
