import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/** Ports of the gateways; they are equal on all VMs, as each has its own loopback address. */
const CALLERS_PORT = 18_740;
const READY_PORT = 18_749;
const PEERS_PORT = 17_200;

/** Values that the second and the third number of a loopback address can take. */
const LOOPBACK_NUMBERS_COUNT = 250;

const GATEWAY_SCRIPT_PATH = path.resolve(import.meta.dirname, "../../../platform/main.js");

/** Memory that a gateway may use, as on the smallest VMs. */
const MEMORY_MB = 200;

/** Limits on the heap of a gateway, as in the deployment. */
const HEAP_OPTIONS = ["--max-old-space-size=110", "--max-semi-space-size=8"];

const MEMORY_CHECK_INTERVAL_MS = 250;

/** Signals at which a gateway is meant to end. */
const ENDING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(["SIGKILL", "SIGTERM"]);

/** Signals after which a process answers no call, at least for a while. */
const HALTING_SIGNALS: ReadonlySet<NodeJS.Signals> = new Set(["SIGKILL", "SIGSTOP"]);

/** How the settings file is found by a process that starts. */
export enum SettingsFileState {
  Complete = "complete",
  Missing = "missing",
  HalfWritten = "half-written",
}

/** Receives what happens to a gateway. */
export interface ProcessObserver {
  /** Called at each start and signal. */
  readonly onDisturbed: () => void;
  /** Called when the process has ended though nothing told it to. */
  readonly onUnexpectedEnd: (detail: string) => void;
  /** Called when the process has used more memory than it may. */
  readonly onMemoryExceeded: (detail: string) => void;
}

/** A gateway that runs as a child process and can be started, signalled and stopped. */
export class GatewayProcess {
  readonly host: string;
  /** Number of starts, which tells the VM's processes apart. */
  startsCount = 0;
  /** Number of signals that end or halt a process at once. */
  killsCount = 0;
  /** Most memory that any process of the VM has used. */
  peakMemoryMb = 0;
  private settingsFileState = SettingsFileState.Complete;
  private isToldToEnd = false;
  private child: childProcess.ChildProcess | null = null;
  private isRestartEnabled = false;

  constructor(
    readonly index: number,
    private readonly storePort: number,
    private readonly directory: string,
    private readonly observer: ProcessObserver,
  ) {
    this.host = `127.${selectLoopbackNetwork(process.pid)}.${index + 1}`;
  }

  /** The port on which the gateway accepts callers. */
  get callersPort(): number {
    return CALLERS_PORT;
  }

  /** All TCP ports on which the gateway listens. */
  get ports(): readonly number[] {
    return [CALLERS_PORT, READY_PORT, PEERS_PORT];
  }

  /** Starts the process; it is restarted whenever it exits, until `stop` is called. */
  start(): void {
    this.observer.onDisturbed();
    this.isRestartEnabled = true;
    this.isToldToEnd = false;
    this.startsCount += 1;
    const log = fs.openSync(this.logPath, "a");
    // As in the deployment: the options that a test runner adds would load its hooks into the gateway.
    const environment = [
      `PATH=${process.env.PATH ?? ""}`,
      `CHIVEFERRY_CONFIG=${this.writeSettings()}`,
    ];
    const program = [process.execPath, ...HEAP_OPTIONS, GATEWAY_SCRIPT_PATH];
    const child = childProcess.spawn("env", ["-i", ...environment, ...program], {
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.child = child;
    const memoryChecks = setInterval(() => this.checkMemory(), MEMORY_CHECK_INTERVAL_MS);
    child.once("exit", (code, signal) => {
      clearInterval(memoryChecks);
      if (!this.isToldToEnd)
        this.observer.onUnexpectedEnd(
          `VM ${this.index}, start ${this.startsCount}: code ${code ?? "none"}, signal ${signal ?? "none"}`,
        );
      if (this.child === child) setTimeout(() => this.restart(), RESTART_DELAY_MS);
    });
  }

  /** Starts the process again, unless it was stopped since its exit. */
  private restart(): void {
    if (this.isRestartEnabled) this.start();
  }

  /** Sends a signal to the process, if there is one. */
  signal(signal: NodeJS.Signals): void {
    this.observer.onDisturbed();
    if (ENDING_SIGNALS.has(signal)) this.isToldToEnd = true;
    if (HALTING_SIGNALS.has(signal)) this.killsCount += 1;
    this.child?.kill(signal);
  }

  /** Sets how the next processes find their settings file, and how the present one does. */
  setSettingsFile(state: SettingsFileState): void {
    this.settingsFileState = state;
    this.writeSettings();
  }

  /** Size of the log in bytes. */
  get logBytes(): number {
    return fs.statSync(this.logPath).size;
  }

  /** Kills the process, waits for its exit and prevents a restart. */
  async stop(): Promise<void> {
    this.isRestartEnabled = false;
    const { child } = this;
    const isRunning = child?.exitCode === null && child.signalCode === null;
    if (!isRunning) return;
    const exited = new Promise<void>((resolve) => child.once("exit", () => resolve()));
    this.isToldToEnd = true;
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await exited;
  }

  private get logPath(): string {
    return path.join(this.directory, `vm-${this.index}.log`);
  }

  /** Reads the most memory that the process has used since its start. */
  private checkMemory(): void {
    const status = readProcessStatus(this.child?.pid);
    const usedMb = Number(/^VmHWM:\s+(\d+) kB$/m.exec(status)?.[1] ?? 0) / 1_024;
    const wasExceeded = this.peakMemoryMb > MEMORY_MB;
    this.peakMemoryMb = Math.max(this.peakMemoryMb, usedMb);
    if (wasExceeded || usedMb <= MEMORY_MB) return;
    this.observer.onMemoryExceeded(
      `VM ${this.index}, start ${this.startsCount}: ${Math.round(usedMb)} MB of ${MEMORY_MB} MB`,
    );
  }

  private writeSettings(): string {
    const file = path.join(this.directory, `vm-${this.index}.json`);
    const settings = {
      node_name: `vm-${this.index}`,
      ip: this.host,
      zone: "dc-a",
      listen: { frontend: `${this.host}:${CALLERS_PORT}`, ready: `${this.host}:${READY_PORT}` },
      internal_ports: [PEERS_PORT],
      limits: { cpu_share: 1, cores: 1, memory_mb: MEMORY_MB },
      bounds: {
        grace_s: 8,
        revoke_ms: 5_000,
        config_apply_ms: 2_000,
        retry_budget_ratio: 0.2,
        retry_window_s: 10,
        retry_slack: 54,
        cold_overrun: 1.5,
        cold_tolerance: 5,
      },
      platform: { address: `127.0.0.1:${this.storePort}` },
    };
    const text = JSON.stringify(settings);
    if (this.settingsFileState === SettingsFileState.Missing) fs.rmSync(file, { force: true });
    else if (this.settingsFileState === SettingsFileState.HalfWritten)
      fs.writeFileSync(file, text.slice(0, text.length / 2));
    else fs.writeFileSync(file, text);
    return file;
  }
}

/** Reads what the system tells of a process; empty if there is none. */
function readProcessStatus(pid: number | undefined): string {
  try {
    return fs.readFileSync(`/proc/${pid ?? 0}/status`, "utf8");
  } catch {
    return "";
  }
}

/** Selects a loopback network by process id, so that concurrent soak tests do not collide. */
function selectLoopbackNetwork(pid: number): string {
  const second = 1 + (Math.floor(pid / LOOPBACK_NUMBERS_COUNT) % LOOPBACK_NUMBERS_COUNT);
  return `${second}.${1 + (pid % LOOPBACK_NUMBERS_COUNT)}`;
}

/** Delay before an exited process is restarted. */
const RESTART_DELAY_MS = 300;

/** Creates a temporary folder for the settings and logs of one soak run, and returns its path. */
export function createLogFolder(seed: number): string {
  return fs.mkdtempSync(path.join(os.tmpdir(), `chiveferry-soak-${seed}-`));
}
