import * as net from "node:net";
import * as timers from "node:timers/promises";

import type * as randoms from "../../../src/_lib/random/index.js";
import * as processes from "../processes/index.js";

/** Interval at which the output of a starting process is polled. */
const LOG_CHECK_INTERVAL_MS = 2;

/** Attempts to take over a port, and the pause between two; together less than the delay of a restart. */
const MAX_LISTEN_TRIES_COUNT = 50;
const LISTEN_RETRY_MS = 5;

/** Time after its kill for which a VM's process may take to start. */
const START_TIMEOUT_MS = 5_000;

/** Restarts a VM while its settings file is missing or half written, and repairs the file later. */
export async function startWithSpoiledSettings(
  vm: processes.GatewayProcess,
  random: randoms.RandomSource,
): Promise<void> {
  const { HalfWritten, Missing, Complete } = processes.SettingsFileState;
  vm.setSettingsFile(random.next() < 0.5 ? HalfWritten : Missing);
  vm.signal("SIGKILL");
  await timers.setTimeout(600 + 2_000 * random.next());
  vm.setSettingsFile(Complete);
  await timers.setTimeout(300);
}

/** Restarts a VM while another process still listens at one of its ports. */
export async function startBesideListener(
  vm: processes.GatewayProcess,
  random: randoms.RandomSource,
): Promise<void> {
  vm.signal("SIGKILL");
  const port = vm.ports[Math.floor(random.next() * vm.ports.length)];
  const listener = await listenOnceFree(vm.host, port);
  await timers.setTimeout(600 + 2_000 * random.next());
  await new Promise((resolve) => listener?.close(resolve) ?? resolve(null));
  await timers.setTimeout(300);
}

/** Restarts a VM and tells it, as soon as it has written a line, that its settings have changed. */
export async function signalAtStart(
  vm: processes.GatewayProcess,
  random: randoms.RandomSource,
): Promise<void> {
  const { startsCount } = vm;
  vm.signal("SIGKILL");
  const endsAtMs = Date.now() + START_TIMEOUT_MS;
  let logBytes = vm.logBytes;
  while (vm.startsCount === startsCount || vm.logBytes === logBytes) {
    if (Date.now() > endsAtMs) return;
    if (vm.startsCount === startsCount) ({ logBytes } = vm);
    await timers.setTimeout(LOG_CHECK_INTERVAL_MS);
  }
  for (let count = 0; count < 4; count += 1) {
    vm.signal("SIGHUP");
    await timers.setTimeout(100 * random.next());
  }
}

/** Listens at a port as soon as the process before has left it; null if the next one was faster. */
async function listenOnceFree(host: string, port: number | undefined): Promise<net.Server | null> {
  for (let count = 0; count < MAX_LISTEN_TRIES_COUNT; count += 1) {
    const listener = await listen(host, port);
    if (listener !== null) return listener;
    await timers.setTimeout(LISTEN_RETRY_MS);
  }
  return null;
}

/** Listens at a port; null if it is in use. */
function listen(host: string, port: number | undefined): Promise<net.Server | null> {
  return new Promise((resolve) => {
    const server = net.createServer((socket) => socket.destroy());
    server.once("error", () => resolve(null));
    server.listen({ host, port }, () => resolve(server));
  });
}
