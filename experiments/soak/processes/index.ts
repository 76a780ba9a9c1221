import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as os from "node:os";
import * as path from "node:path";

/** Ports of the soak's VMs; each VM has a loopback address of its own. */
const CALLERS_PORT = 18_740;
const READY_PORT = 18_749;
const PEERS_PORT = 17_200;

/** Several soaks run beside each other on loopback networks of their own. */
const MAX_NETWORKS = 250;

const GATEWAY_PROGRAM = path.resolve(import.meta.dirname, "../../../platform/main.js");

/** A gateway as a process of its own, that is started, signalled and restarted from outside. */
export class GatewayProcess {
  readonly host: string;
  private child: childProcess.ChildProcess | null = null;
  private isWanted = false;

  constructor(
    readonly index: number,
    private readonly storePort: number,
    private readonly directory: string,
  ) {
    this.host = `127.0.${1 + (process.pid % MAX_NETWORKS)}.${index + 1}`;
  }

  /** Where callers reach the gateway. */
  get callersPort(): number {
    return CALLERS_PORT;
  }

  /** Starts the process; it is started again whenever it ends, until it is ended for good. */
  start(): void {
    this.isWanted = true;
    const log = fs.openSync(path.join(this.directory, `vm-${this.index}.log`), "a");
    const child = childProcess.spawn(process.execPath, [GATEWAY_PROGRAM], {
      env: { ...process.env, CHIVEFERRY_CONFIG: this.writeSettings() },
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.child = child;
    child.once("exit", () => {
      if (this.child === child && this.isWanted) setTimeout(() => this.start(), RESTART_MS);
    });
  }

  signal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Ends the process for good. */
  async end(): Promise<void> {
    this.isWanted = false;
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
      },
      platform: { address: `127.0.0.1:${this.storePort}` },
    };
    fs.writeFileSync(file, JSON.stringify(settings));
    return file;
  }
}

/** Pause before a process that ended is started again. */
const RESTART_MS = 300;

/** A folder of the soak's own for settings and logs. */
export function createLogFolder(seed: number): string {
  return fs.mkdtempSync(path.join(os.tmpdir(), `chiveferry-soak-${seed}-`));
}
