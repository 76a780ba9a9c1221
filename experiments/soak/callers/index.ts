import * as http from "node:http";

import * as names from "../../../platform/names/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import type * as checks from "../checks/index.js";
import type * as processes from "../processes/index.js";

const { HEADERS } = names;

/** Events of each stream in the soak test; a stream takes about a second. */
export const STREAM_EVENTS_COUNT = 40;

const CALL_TIMEOUT_MS = 6_000;

interface CallKind {
  readonly path: string;
  readonly method: string;
  readonly isOnceOnly: boolean;
  readonly eventsCount: number | null;
}

const LOOKUP: CallKind = { path: "/lookup/", method: "GET", isOnceOnly: false, eventsCount: null };

const CALL_KINDS: readonly CallKind[] = [
  LOOKUP,
  { path: "/file/", method: "POST", isOnceOnly: true, eventsCount: null },
  { path: "/draft/", method: "POST", isOnceOnly: true, eventsCount: STREAM_EVENTS_COUNT },
];

/** Makes one lookup at a VM and returns its status; null if the connection failed. */
export async function makeLookup(
  id: string,
  apiKey: string,
  vm: processes.GatewayProcess,
  checker: checks.InvariantChecker,
): Promise<number | null> {
  checker.recordCall(id, false, apiKey);
  const { status } = await send(id, apiKey, vm, LOOKUP);
  return status;
}

/** Makes one call of a random kind at a random VM and reports its start and end to the checker. */
export async function makeCall(
  id: string,
  apiKey: string,
  vms: readonly processes.GatewayProcess[],
  random: randoms.RandomSource,
  checker: checks.InvariantChecker,
): Promise<void> {
  const kind = CALL_KINDS[Math.floor(random.next() * CALL_KINDS.length)];
  const vm = vms[Math.floor(random.next() * vms.length)];
  if (kind === undefined || vm === undefined) return;
  checker.recordCall(id, kind.isOnceOnly, apiKey);
  const process = `${vm.index}/${vm.startsCount}`;
  const hadServedKey = checker.hasServedKey(process, apiKey);
  const answer = await send(id, apiKey, vm, kind);
  checker.recordKeyOutcome({ id, process, apiKey, hadServedKey, status: answer.status });
  checker.recordEnd({ id, isOnceOnly: kind.isOnceOnly, eventsCount: kind.eventsCount, ...answer });
}

function send(
  id: string,
  apiKey: string,
  vm: processes.GatewayProcess,
  kind: CallKind,
): Promise<Pick<checks.CallEnd, "status" | "body" | "isWhole">> {
  const connectionLost = { status: null, body: "", isWhole: false };
  return new Promise((resolve) => {
    const request = http.request({
      host: vm.host,
      port: vm.callersPort,
      method: kind.method,
      path: kind.path,
      agent: false,
      timeout: CALL_TIMEOUT_MS,
      headers: {
        Host: gatewayFleets.HOST,
        [HEADERS.requestId]: id,
        [HEADERS.apiKey]: apiKey,
        [HEADERS.timeLeftMs]: String(CALL_TIMEOUT_MS),
        [HEADERS.tokenCounts]: "300,2000",
        [HEADERS.lengthHint]: "160",
        [HEADERS.model]: "m",
      },
    });
    request.once("timeout", () => request.destroy());
    request.once("error", () => resolve(connectionLost));
    request.once("response", (message) => {
      const chunks: Buffer[] = [];
      message.on("data", (chunk: Buffer) => chunks.push(chunk));
      message.on("error", () => undefined);
      message.once("close", () => {
        const body = Buffer.concat(chunks).toString();
        resolve({ status: message.statusCode ?? null, body, isWhole: message.complete });
      });
    });
    request.end(kind.method === "POST" ? "body" : undefined);
  });
}
