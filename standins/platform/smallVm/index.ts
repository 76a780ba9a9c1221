import * as fs from "node:fs";
import * as http from "node:http";
import * as net from "node:net";
import * as timers from "node:timers/promises";

import type { Test } from "tap";

import * as processes from "../../../experiments/soak/processes/index.js";
import * as names from "../../../platform/names/index.js";
import * as backendServers from "../backendServer/index.js";
import * as callerRequests from "../callerRequest/index.js";
import * as gatewayFleets from "../gatewayFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;
const { HEADERS } = names;

/** Memory of the smallest VMs. */
export const MEMORY_MB = 200;

/** An answer, without its bytes. */
export interface Answer {
  readonly status: number;
  readonly sizeBytes: number;
  readonly isComplete: boolean;
}

/** One gateway process of the smallest VM's size, with a plain server and an engine. */
export interface SmallVm {
  readonly vm: processes.GatewayProcess;
  readonly plain: backendServers.BackendServer;
  readonly engine: backendServers.BackendServer;
  readonly unexpectedEnds: readonly string[];
  readonly call: (path: string, id: string, body?: Buffer) => Promise<Answer>;
}

const CALLER_LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 65_536,
  header_timeout_ms: 3_000,
  idle_timeout_ms: 15_000,
};

const EVENTS = { eventsCount: 3, gapMs: 1 };

let vmsCount = 0;

/** A gateway process of the smallest VM's size that was started, whether it serves calls or not. */
export interface StartedVm extends SmallVm {
  /** Writes a configuration, and waits until calls are served. */
  readonly configure: () => Promise<void>;
}

/** Starts a gateway process of the smallest VM's size, and waits until it serves calls. */
export async function startSmallVm(t: Test, limits: object = {}): Promise<SmallVm> {
  const small = await startUnconfiguredVm(t, limits);
  await small.configure();
  return small;
}

/**
 * Starts a gateway process of the smallest VM's size, which has no configuration.
 *
 * @param limits - limits on callers, for the configuration
 */
export async function startUnconfiguredVm(t: Test, limits: object = {}): Promise<StartedVm> {
  const fleet = new gatewayFleets.GatewayFleet();
  await fleet.start();
  const plain = await fleet.addServer("p1", PLAIN_SERVICE, backendServers.answerCompletely("ok"));
  const engine = await fleet.addServer("e1", ENGINE_SERVICE, backendServers.stream(EVENTS), 100);
  const directory = processes.createLogFolder(0);
  const unexpectedEnds: string[] = [];
  vmsCount += 1;
  const vm = new processes.GatewayProcess(vmsCount, fleet.store.port, directory, {
    onDisturbed: () => undefined,
    onUnexpectedEnd: (detail) => unexpectedEnds.push(detail),
    onMemoryExceeded: () => undefined,
  });
  t.teardown(async () => {
    await vm.stop();
    await fleet[Symbol.asyncDispose]();
    fs.rmSync(directory, { recursive: true });
  });
  vm.start();
  const call = (path: string, id: string, body?: Buffer): Promise<Answer> =>
    sendCall(vm, path, id, body);
  const isServed = async (path: string): Promise<boolean> =>
    (await call(path, "ready").catch(() => null))?.status === 200;
  const configure = async (): Promise<void> => {
    fleet.configure({ limits: { ...CALLER_LIMITS, ...limits } });
    const endsAtMs = Date.now() + 20_000;
    while (!((await isServed("/lookup/")) && (await isServed("/draft/")))) {
      if (Date.now() > endsAtMs) throw new Error("the gateway serves nothing");
      await timers.setTimeout(50);
    }
  };
  return { vm, plain, engine, unexpectedEnds, call, configure };
}

/** Sends a call and counts the bytes of its answer without keeping them. */
export function sendCall(
  { host, callersPort }: processes.GatewayProcess,
  path: string,
  id: string,
  body: Buffer = Buffer.from("prompt"),
): Promise<Answer> {
  return new Promise((resolve, reject) => {
    const outgoing = http.request({
      host,
      port: callersPort,
      method: path === "/lookup/" ? "GET" : "POST",
      path,
      agent: false,
      headers: {
        Host: callerRequests.HOST,
        [HEADERS.requestId]: id,
        [HEADERS.timeLeftMs]: "20000",
        [HEADERS.apiKey]: callerRequests.API_KEY,
        ...(path === "/draft/" ? DRAFT_HEADERS : {}),
      },
    });
    outgoing.on("error", reject);
    outgoing.on("response", (message) => {
      let sizeBytes = 0;
      message.on("data", (chunk: Buffer) => (sizeBytes += chunk.length));
      message.on("error", () => undefined);
      message.on("close", () =>
        resolve({ status: message.statusCode ?? 0, sizeBytes, isComplete: message.complete }),
      );
    });
    outgoing.end(path === "/lookup/" ? undefined : body);
  });
}

const DRAFT_HEADERS = { "X-Token-Count": "300,2000", "X-Length-Hint": "1000", "X-Model": "m" };

/** Sends a call from a caller that never reads its answer, unless it is told to. */
export function callWithoutReading(t: Test, { vm }: SmallVm, id: string, headers = ""): net.Socket {
  const socket = net.connect(vm.callersPort, vm.host);
  t.teardown(() => socket.destroy());
  socket.on("error", () => undefined);
  socket.pause();
  socket.write(
    `POST /file/ HTTP/1.1\r\nHost: ${callerRequests.HOST}\r\n${HEADERS.requestId}: ${id}\r\n` +
      `${HEADERS.timeLeftMs}: 20000\r\n${HEADERS.apiKey}: ${callerRequests.API_KEY}\r\n` +
      `${headers}Content-Length: 0\r\n\r\n`,
  );
  return socket;
}
