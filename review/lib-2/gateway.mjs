// Starts gateways as the deploy file does (`run` of the role, from the repository root), each on a loopback
// address of its own, with settings like those of a small deployment.
import * as childProcess from "node:child_process";
import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";

const ROOT = path.resolve(import.meta.dirname, "../..");
const PORT_NAMES = ["frontend", "ready", "control", "internal"];

const BOUNDS = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stability_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_apply_ms: 2000,
  rollback_slack_ms: 250,
  outer_ms: 5000,
  revoke_strict: true,
  revoke_ms: 5000,
  retry_budget_ratio: 0.2,
  retry_window_s: 10,
  retry_slack: 56,
  recovery_s: 12,
  iteration_ms: 120,
  retry_after_s: 7,
};

/** The command of the deploy file's only role. */
function readCommand() {
  const text = fs.readFileSync(path.join(ROOT, "deploy/system.toml"), "utf8");
  return /^run = "(.*)"$/m.exec(text)[1].split(" ");
}

/** One gateway process. */
export class Gateway {
  /** @param ports - from `pickPorts`, as the ports are the same on all machines */
  constructor({ name, host, ports, store, record, folder }) {
    Object.assign(this, { name, host, ports, store, record, folder });
    this.settingsPath = path.join(folder, `${name}.json`);
    this.logPath = path.join(folder, `${name}.log`);
  }

  start() {
    fs.writeFileSync(this.settingsPath, JSON.stringify(this.settings()));
    const log = fs.openSync(this.logPath, "a");
    const [program, ...options] = readCommand();
    const command = program === "node" ? process.execPath : program;
    const env = {
      PATH: process.env.PATH ?? "",
      HOME: process.env.HOME ?? "",
      CHIVEFERRY_CONFIG: this.settingsPath,
    };
    this.child = childProcess.spawn(command, options, {
      cwd: ROOT,
      env,
      stdio: ["ignore", log, log],
    });
    fs.closeSync(log);
    this.exited = new Promise((resolve) => this.child.once("exit", resolve));
    this.child.once("exit", (code, signal) =>
      this.record("gateway", `${this.name} has ended`, { code, signal }),
    );
    this.record("gateway", `${this.name} starts`, { command: [program, ...options].join(" ") });
  }

  settings() {
    const at = (port) => `${this.host}:${port}`;
    return {
      node_name: this.name,
      role: "gateway",
      machine_class: "edge",
      serves: ["edge"],
      ip: this.host,
      zone: "zone-a",
      region: "region",
      zones: { "zone-a": "region" },
      listen: {
        frontend: at(this.ports.frontend),
        ready: at(this.ports.ready),
        control_plane: at(this.ports.control),
      },
      internal_ports: [this.ports.internal, this.ports.internal],
      seeds: [],
      bootstrap: true,
      limits: { cpu_share: 0.675, cores: 1, memory_mb: 350, max_fds: 4100 },
      data_dir: null,
      discovery: "platform",
      heartbeat_ms: 1200,
      fault_tolerance: { machines: 2, zones: 0, regions: 0 },
      bounds: BOUNDS,
      platform: { address: this.store.address, form: "log" },
    };
  }

  get frontend() {
    return { host: this.host, port: this.ports.frontend };
  }

  /** Whether the gateway says that it is ready. */
  isReady() {
    return new Promise((resolve) => {
      const request = http.get({ host: this.host, port: this.ports.ready, path: "/readyz" });
      request.once("response", (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      request.once("error", () => resolve(false));
    });
  }

  async whenReady(timeoutMs = 15_000) {
    for (const endAt = Date.now() + timeoutMs; Date.now() < endAt;) {
      if (await this.isReady()) {
        this.record("gateway", `${this.name} is ready`, {});
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    throw new Error(`${this.name} is not ready after ${timeoutMs} ms`);
  }

  signal(signal) {
    this.record("gateway", `${this.name} gets ${signal}`, {});
    this.child.kill(signal);
  }

  async stop() {
    if (this.child === undefined || this.child.exitCode !== null || this.child.signalCode !== null)
      return;
    this.child.kill("SIGCONT");
    this.child.kill("SIGKILL");
    await this.exited;
  }
}

/** Picks free ports. */
export async function pickPorts(host) {
  const servers = [];
  const ports = {};
  for (const name of PORT_NAMES) {
    const server = net.createServer();
    servers.push(server);
    await new Promise((resolve) => server.listen(0, host, resolve));
    ports[name] = server.address().port;
  }
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}

/** Loopback addresses that no other case of this run uses: 127.A.B.n by the process id. */
export function loopbackHost(index) {
  const second = 20 + (Math.floor(process.pid / 250) % 200);
  return `127.${second}.${1 + (process.pid % 250)}.${index}`;
}

export function temporaryFolder() {
  return fs.mkdtempSync(path.join(os.tmpdir(), "chiveferry-review-"));
}
