import * as childProcess from "node:child_process";
import * as dgram from "node:dgram";
import { once } from "node:events";
import * as fs from "node:fs";
import * as net from "node:net";
import * as os from "node:os";
import * as path from "node:path";
import * as url from "node:url";

import tap, { type Test } from "tap";

import * as startedPrograms from "../../../standins/platform/startedProgram/index.js";
import * as http from "../../http/index.js";
import * as constants from "../constants.js";

const PORTS = { callers: 18_840, admin: 18_841, peers: 17_300, heartbeats: 17_301 };
const MAIN_FILE = url.fileURLToPath(new URL("../main.js", import.meta.url));
const FLEET_KEY = "a key that all virtual machines of this fleet have in common";

interface DaemonProgram {
  readonly host: string;
  readonly file: string;
  readonly text: string;
  readonly start: () => startedPrograms.StartedProgram;
}

/** The program and its settings file, in a folder of their own. */
function prepare(t: Test): DaemonProgram {
  const folder = fs.mkdtempSync(path.join(os.tmpdir(), "chiveferryd-"));
  const host = `127.${1 + (process.pid % 250)}.${1 + (Math.floor(process.pid / 250) % 250)}.2`;
  const file = path.join(folder, "vm.yaml");
  const text = `
vm: { name: vm-1, region: riga, dataCentre: riga-a, peerAddress: ${host}, peerPort: ${PORTS.peers}, heartbeatPort: ${PORTS.heartbeats} }
callers: { address: ${host}, port: ${PORTS.callers} }
admin:
  address: ${host}
  port: ${PORTS.admin}
  operatorKeys: [{ operator: anna, keyHash: "${http.hashKey("operator")}" }]
fleet:
  key: ${FLEET_KEY}
  regions: [{ name: riga, dataCentres: [riga-a] }]
platform: { logUrls: ["http://${host}:1"], vmListUrl: "http://${host}:1", weightStoreUrl: "http://${host}:1" }
logging: { level: fatal }
shutdown: { balancerNoticeMs: 1, graceMs: 2000 }
`;
  fs.writeFileSync(file, text);
  const children: childProcess.ChildProcess[] = [];
  t.teardown(() => {
    for (const child of children) child.kill("SIGKILL");
    fs.rmSync(folder, { recursive: true });
  });
  const start = (): startedPrograms.StartedProgram => {
    const args = [MAIN_FILE, "--settings", file];
    const child = childProcess.spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
    children.push(child);
    return new startedPrograms.StartedProgram(child, child.stderr);
  };
  return { host, file, text, start };
}

/** Waits until the daemon serves. */
async function waitUntilListening(
  host: string,
  program: startedPrograms.StartedProgram,
): Promise<void> {
  for (;;) {
    const isOpen = await fetch(`http://${host}:${PORTS.callers}/healthz`).then(
      ({ ok }) => ok,
      () => false,
    );
    if (isOpen) return;
    if (program.end !== null) throw new Error(`ended: ${JSON.stringify(program.end)}`);
  }
}

// Guards against the end of a process by an idle signal, also while it loads.
tap.test("no signal but SIGTERM and SIGINT ends a daemon", async (t) => {
  const { host, start } = prepare(t);
  const signals = ["SIGHUP", "SIGUSR1", "SIGUSR2", "SIGQUIT", "SIGALRM", "SIGIO"] as const;
  const daemon = start();
  await daemon.waitForLine("process-started");
  for (const signal of signals) daemon.child.kill(signal);
  for (const signal of signals) await daemon.waitForLine("signal-received", { signal });
  await waitUntilListening(host, daemon);
  for (const signal of signals) daemon.child.kill(signal);
  await daemon.waitForLine("settings-reloaded", { isValid: true });
  t.equal(daemon.end, null);
  daemon.child.kill("SIGTERM");
  daemon.child.kill("SIGTERM");
  t.match(await daemon.ended, { code: 0, signal: null });
});

// Guards against the end of a process that starts while its settings file is replaced.
tap.test("a daemon waits for a settings file that is complete and valid", async (t) => {
  const { host, file, text, start } = prepare(t);
  const spoiledTexts = {
    missing: null,
    empty: "",
    "half written": text.slice(0, text.length / 2),
    "with an impossible port": text.replace(String(PORTS.admin), "70000"),
  };
  for (const [name, spoiledText] of Object.entries(spoiledTexts)) {
    if (spoiledText === null) fs.rmSync(file);
    else fs.writeFileSync(file, spoiledText);
    const daemon = start();
    const { cause } = await daemon.waitForLine("settings-awaited");
    if (name === "with an impossible port") t.match(cause, "admin.port");
    fs.writeFileSync(file, text);
    await daemon.waitForLine("settings-found");
    await waitUntilListening(host, daemon);
    daemon.child.kill("SIGKILL");
    await daemon.ended;
    t.pass(name);
  }
});

tap.test("a daemon that waits for its settings ends with code 0 when it is told to", async (t) => {
  const { file, start } = prepare(t);
  fs.rmSync(file);
  const daemon = start();
  await daemon.waitForLine("settings-awaited");
  daemon.child.kill("SIGTERM");
  t.match(await daemon.ended, { code: 0, signal: null });
});

// Guards against the end of a process that starts while the one before it still holds an address.
tap.test("a daemon waits until its addresses are free", async (t) => {
  const { host, start } = prepare(t);
  for (const part of ["callers", "admin", "peers"] as const) {
    const holder = net.createServer((socket) => socket.destroy()).listen(PORTS[part], host);
    await once(holder, "listening");
    const daemon = start();
    await daemon.waitForLine("address-awaited", { part, cause: "EADDRINUSE" });
    holder.close();
    await daemon.waitForLine("address-bound", { part });
    await waitUntilListening(host, daemon);
    daemon.child.kill("SIGKILL");
    await daemon.ended;
  }
  const socket = dgram.createSocket("udp4").bind(PORTS.heartbeats, host);
  await once(socket, "listening");
  const daemon = start();
  await daemon.waitForLine("address-awaited", { part: "heartbeats" });
  socket.close();
  await waitUntilListening(host, daemon);
  daemon.child.kill("SIGKILL");
  await daemon.ended;
});

tap.test("a daemon that waits for an address ends with code 0 when it is told to", async (t) => {
  const { host, start } = prepare(t);
  const holder = net.createServer((socket) => socket.destroy()).listen(PORTS.callers, host);
  t.teardown(() => holder.close());
  await once(holder, "listening");
  const daemon = start();
  await daemon.waitForLine("address-awaited", { part: "callers" });
  daemon.child.kill("SIGTERM");
  t.match(await daemon.ended, { code: 0, signal: null });
});

// Guards against a daemon that ends, or spins, because its standard streams are closed.
tap.test("a daemon whose log's reader has gone runs on", async (t) => {
  const { host, start } = prepare(t);
  const daemon = start();
  await waitUntilListening(host, daemon);
  daemon.child.stdout.destroy();
  daemon.child.stderr.destroy();
  for (let i = 0; i < 20; i++) daemon.child.kill("SIGUSR2");
  await waitUntilListening(host, daemon);
  t.equal(daemon.end, null);
  daemon.child.kill("SIGINT");
  t.match(await daemon.ended, { code: 0, signal: null });
});

tap.test("a command line that is wrong ends at once", async (t) => {
  const result = childProcess.spawnSync(process.execPath, [MAIN_FILE]);
  t.equal(result.status, 1);
  t.match(result.stderr.toString(), "--settings");
  t.not(result.status, constants.EXIT_CODE_START_FAILED);
});
