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

/** A gateway that runs as a child process and can be started, signalled and stopped. */
export class GatewayProcess {
  readonly host: string;
  /** Number of starts, which tells the VM's processes apart. */
  startsCount = 0;
  private child: childProcess.ChildProcess | null = null;
  private isRestartEnabled = false;

  constructor(
    readonly index: number,
    private readonly storePort: number,
    private readonly directory: string,
    private readonly onDisturbed: () => void,
  ) {
    this.host = `127.${selectLoopbackNetwork(process.pid)}.${index + 1}`;
  }

  /** The port on which the gateway accepts callers. */
  get callersPort(): number {
    return CALLERS_PORT;
  }

  /** Starts the process; it is restarted whenever it exits, until `stop` is called. */
  start(): void {
    this.onDisturbed();
    this.isRestartEnabled = true;
    this.startsCount += 1;
    const log = fs.openSync(path.join(this.directory, `vm-${this.index}.log`), "a");
    const child = childProcess.spawn(process.execPath, [GATEWAY_SCRIPT_PATH], {
      env: { ...process.env, CHIVEFERRY_CONFIG: this.writeSettings() },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.child = child;
    child.once("exit", () => {
      if (this.child === child) setTimeout(() => this.restart(), RESTART_DELAY_MS);
    });
  }

  /** Starts the process again, unless it was stopped since its exit. */
  private restart(): void {
    if (this.isRestartEnabled) this.start();
  }

  /** Sends a signal to the process, if there is one. */
  signal(signal: NodeJS.Signals): void {
    this.onDisturbed();
    this.child?.kill(signal);
  }

  /** Kills the process, waits for its exit and prevents a restart. */
  async stop(): Promise<void> {
    this.isRestartEnabled = false;
    const { child } = this;
    const isRunning = child?.exitCode === null && child.signalCode === null;
    if (!isRunning) return;
    const exited = new Promise<void>((resolve) => child.once("exit", () => resolve()));
    child.kill("SIGCONT");
    child.kill("SIGKILL");
    await exited;
  }

  private writeSettings(): string {
    const file = path.join(this.directory, `vm-${this.index}.json`);
    const settings = {
      node_name: `vm-${this.index}`,
      ip: this.host,
      zone: "dc-a",
      listen: { frontend: `${this.host}:${CALLERS_PORT}`, ready: `${this.host}:${READY_PORT}` },
      internal_ports: [PEERS_PORT],
      limits: { cpu_share: 1, cores: 1 },
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
    fs.writeFileSync(file, JSON.stringify(settings));
    return file;
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
