// Starts and kills an engine as a process of its own, behind a proxy, and writes its entry in the store meanwhile.
import * as childProcess from "node:child_process";
import * as path from "node:path";
import * as readline from "node:readline";

import { Proxy } from "./proxy.mjs";

const PROGRAM = path.join(import.meta.dirname, "engine-program.mjs");
const HEARTBEAT_MS = 1_200;

/** An engine in a process; each start is a new incarnation under the same id, at the same address. */
export class EngineProcess {
  /** Attempts that it has run, and those whose whole answer it has written. */
  runs = [];
  ended = [];
  port = 0;
  sequence = 0;

  constructor({ id, service, store, record, host, eventsCount, gapMs, slots = 24 }) {
    Object.assign(this, { id, service, store, record, host, eventsCount, gapMs, slots });
    this.proxy = new Proxy(host, () => ({ host: this.host, port: this.port }));
  }

  async start() {
    if (this.proxy.address === undefined) await this.proxy.start();
    const options = [this.host, this.port, this.id, this.eventsCount, this.gapMs].map(String);
    this.child = childProcess.spawn(process.execPath, [PROGRAM, ...options], {
      stdio: ["ignore", "pipe", "inherit"],
    });
    this.exited = new Promise((resolve) => this.child.once("exit", resolve));
    await new Promise((resolve) => {
      readline.createInterface({ input: this.child.stdout }).on("line", (line) => {
        const { what, attempt, port } = JSON.parse(line);
        if (what === "listens") {
          this.port = port;
          resolve();
        }
        if (what === "runs") this.runs.push(attempt);
        if (what === "has written the whole answer") this.ended.push(attempt);
        this.record("engine", `${this.id} ${what}`, attempt === undefined ? {} : { attempt });
      });
    });
    this.born = Date.now();
    this.sequence = 0;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    this.sequence += 1;
    this.store.put("keyed.servers", this.id, {
      service: this.service,
      address: this.proxy.address,
      zone: "zone-a",
      version: "v1",
      slots: this.slots,
      state: "ready",
      cold_remaining_ms: 0,
      phase: "combined",
      models: [{ name: "m", version: 1, adapters: [] }],
      born: this.born,
      sequence: this.sequence,
    });
  }

  /** Kills the process; the kernel closes its channels. */
  async kill() {
    clearInterval(this.timer);
    this.child.kill("SIGKILL");
    await this.exited;
    this.record("engine", `${this.id} is killed`, {});
  }

  async stop() {
    clearInterval(this.timer);
    this.proxy.stop();
    if (this.child.exitCode !== null || this.child.signalCode !== null) return;
    this.child.kill("SIGKILL");
    await this.exited;
  }
}
