import * as http from "node:http";

import * as names from "../../../platform/names/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as crashCauses from "../crashCauses/index.js";
import type * as checks from "../checks/index.js";
import type * as processes from "../processes/index.js";

const { HEADERS } = names;

/** Events of each stream in the soak test; a stream takes about a second. */
export const STREAM_EVENTS_COUNT = 40;

/** Time after which a caller gives a call up that receives nothing. */
export const CALL_TIMEOUT_MS = 6_000;

interface CallKind {
  readonly path: string;
  readonly method: string;
  readonly isOnceOnly: boolean;
  readonly eventsCount: number | null;
}

/** A stream of which a caller has some events, and when it breaks its connection off. */
interface ResumeOptions {
  readonly lastEventId: number;
  readonly stopAfterEventsCount: number;
  /** Keeps the connection open after the call; false for a connection of its own. */
  readonly agent: http.Agent | false;
}

const WHOLE_STREAM: ResumeOptions = {
  lastEventId: 0,
  stopAfterEventsCount: Infinity,
  agent: false,
};

/** Times that a caller resumes a stream before it gives up. */
const MAX_RESUMES_COUNT = 4;

/** Share of a stream's requests that the caller breaks off midway. */
const BREAK_RATIO = 0.5;

const LOOKUP: CallKind = { path: "/lookup/", method: "GET", isOnceOnly: false, eventsCount: null };

const DRAFT: CallKind = {
  path: "/draft/",
  method: "POST",
  isOnceOnly: true,
  eventsCount: STREAM_EVENTS_COUNT,
};

/** A stream that may be resumed. */
const ANSWER: CallKind = { ...DRAFT, path: "/answer/", isOnceOnly: false };

const FILING: CallKind = { path: "/file/", method: "POST", isOnceOnly: true, eventsCount: null };

const CALL_KINDS: readonly CallKind[] = [LOOKUP, FILING, DRAFT, ANSWER];

/** Makes one lookup at a VM and returns its status; null if the connection failed. */
export async function makeLookup(
  id: string,
  apiKey: string,
  vm: processes.GatewayProcess,
  checker: checks.InvariantChecker,
): Promise<number | null> {
  checker.recordCall(id, false, apiKey);
  const { status } = await send(id, apiKey, vm, createSoundRequest(id, LOOKUP));
  return status;
}

/** Makes one plain call on a kept connection and returns its status; null if there was no answer. */
export async function makeKeptCall(
  id: string,
  { apiKey, checker }: { readonly apiKey: string; readonly checker: checks.InvariantChecker },
  vm: processes.GatewayProcess,
  agent: http.Agent,
  isOnceOnly: boolean,
): Promise<number | null> {
  checker.recordCall(id, isOnceOnly, apiKey);
  const request = createSoundRequest(id, isOnceOnly ? FILING : LOOKUP);
  const answer = await send(id, apiKey, vm, request, { ...WHOLE_STREAM, agent });
  checker.recordEnd({ id, isOnceOnly, eventsCount: null, ...answer });
  return answer.status;
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
  if (kind === ANSWER) {
    await readResumedStream(id, apiKey, vms, random, checker);
    return;
  }
  checker.recordCall(id, kind.isOnceOnly, apiKey);
  const process = `${vm.index}/${vm.startsCount}`;
  const hadServedKey = checker.hasServedKey(process, apiKey);
  const answer = await send(id, apiKey, vm, createSoundRequest(id, kind));
  checker.recordKeyOutcome({ id, process, apiKey, hadServedKey, status: answer.status });
  checker.recordEnd({ id, isOnceOnly: kind.isOnceOnly, eventsCount: kind.eventsCount, ...answer });
}

/** Reads a stream whose connection the caller breaks off at times, and resumes it at random VMs. */
async function readResumedStream(
  id: string,
  apiKey: string,
  vms: readonly processes.GatewayProcess[],
  random: randoms.RandomSource,
  checker: checks.InvariantChecker,
): Promise<void> {
  const eventIds: number[] = [];
  for (let count = 0; count <= MAX_RESUMES_COUNT; count += 1) {
    const vm = vms[Math.floor(random.next() * vms.length)];
    if (vm === undefined) return;
    const attemptId = `${id}-${count}`;
    checker.recordCall(attemptId, false, apiKey);
    const isBroken = random.next() < BREAK_RATIO;
    const stopAfterEventsCount = isBroken ? 1 + Math.floor(random.next() * 20) : Infinity;
    const lastEventId = eventIds.at(-1) ?? 0;
    const request = { ...createSoundRequest(id, ANSWER), path: `${ANSWER.path}${id}` };
    const resume = { ...WHOLE_STREAM, lastEventId, stopAfterEventsCount };
    const answer = await send(attemptId, apiKey, vm, request, resume);
    if (answer.status === 200) eventIds.push(...parseWholeEventIds(answer.body));
    const isWhole = answer.status === 200 && answer.isWhole;
    checker.recordResumedStream(id, { eventIds, isWhole, eventsCount: STREAM_EVENTS_COUNT });
    if (isWhole) return;
  }
}

/** Returns the ids of the events that a body holds up to their ends. */
function parseWholeEventIds(body: string): readonly number[] {
  const whole = body.slice(0, body.lastIndexOf("\n\n") + 1);
  return [...whole.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
}

/** Makes a call at a random VM that makes its server crash. */
export async function makeCrashingCall(
  id: string,
  cause: crashCauses.CrashCause,
  fleet: { readonly apiKey: string; readonly vms: readonly processes.GatewayProcess[] },
  random: randoms.RandomSource,
  checker: checks.InvariantChecker,
): Promise<void> {
  const vm = fleet.vms[Math.floor(random.next() * fleet.vms.length)];
  if (vm === undefined) return;
  const isPart = cause.kind === crashCauses.CrashKind.PromptPart;
  const request = isPart
    ? { kind: DRAFT, path: DRAFT.path, promptParts: ["first", cause.name, "other-1", id], body: id }
    : { kind: LOOKUP, path: `${LOOKUP.path}${cause.name}`, promptParts: [], body: "" };
  checker.recordCall(id, isPart, fleet.apiKey);
  checker.crashes.recordCall(id, vm.index);
  await send(id, fleet.apiKey, vm, request);
}

/** A request without its id and key. */
interface SoakRequest {
  readonly kind: CallKind;
  readonly path: string;
  readonly promptParts: readonly string[];
  readonly body: string;
}

/** Creates a request that differs from all others, and shares parts of its prompt with some. */
function createSoundRequest(id: string, kind: CallKind): SoakRequest {
  const promptParts = kind === DRAFT ? ["first", `other-${id.length % 3}`, id] : [];
  return { kind, path: `${kind.path}${id}`, promptParts, body: id };
}

function send(
  id: string,
  apiKey: string,
  vm: processes.GatewayProcess,
  { kind, path, promptParts, body }: SoakRequest,
  { lastEventId, stopAfterEventsCount, agent }: ResumeOptions = WHOLE_STREAM,
): Promise<Pick<checks.CallEnd, "status" | "body" | "isWhole">> {
  const connectionLost = { status: null, body: "", isWhole: false };
  return new Promise((resolve) => {
    const request = http.request({
      host: vm.host,
      port: vm.callersPort,
      method: kind.method,
      path,
      agent,
      timeout: CALL_TIMEOUT_MS,
      headers: {
        Host: gatewayFleets.HOST,
        [HEADERS.requestId]: id,
        [HEADERS.apiKey]: apiKey,
        [HEADERS.timeLeftMs]: String(CALL_TIMEOUT_MS),
        [HEADERS.tokenCounts]: "300,2000",
        [HEADERS.lengthHint]: "160",
        [HEADERS.model]: "m",
        [HEADERS.promptParts]: promptParts.map((part) => `${part}:50`).join(","),
        ...(lastEventId > 0 ? { [HEADERS.lastEventId]: String(lastEventId) } : {}),
      },
    });
    request.once("timeout", () => request.destroy());
    request.once("error", () => resolve(connectionLost));
    request.once("response", (message) => {
      const chunks: Buffer[] = [];
      let eventsCount = 0;
      // An answer may have arrived as a whole by the time at which the caller breaks it off.
      let isStopped = false;
      message.on("data", (chunk: Buffer) => {
        chunks.push(chunk);
        eventsCount += chunk.toString().split("\n\n").length - 1;
        isStopped = eventsCount >= stopAfterEventsCount;
        if (isStopped) request.destroy();
      });
      message.on("error", () => undefined);
      message.once("close", () => {
        const body = Buffer.concat(chunks).toString();
        resolve({
          status: message.statusCode ?? null,
          body,
          isWhole: message.complete && !isStopped,
        });
      });
    });
    request.end(kind.method === "POST" ? body : undefined);
  });
}
