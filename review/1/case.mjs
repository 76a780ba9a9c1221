// An engine spoils a few of its answers: a byte of the status line is wrong.
import { createAgent, sendAttempt } from "../lib/client.mjs";
import { pause } from "../lib/engine.mjs";
import { isTroubled, runCase } from "../lib/scene.mjs";

const HOST = "permits.example";
const WORK_MS = 86;
const RATE_PER_S = 60;
/** One engine of three spoils one answer in fifty, for some seconds, more than once. */
const SPOILED_EVERY = 50;
const SPOILING_S = 5.5;
const PAUSE_S = 3;
const ROUNDS = 3;
const ALLOWED_LOSSES = 3;

const route = { host: HOST, service: "permit-app", timeout_ms: 4_000, target_latency_ms: 386 };
const configuration = {
  routes: [
    { ...route, name: "permit-file", path_prefix: "/file/", kind: "non_idempotent", priority: 2 },
    {
      ...route,
      name: "status-read",
      path_prefix: "/status/",
      kind: "idempotent",
      priority: 2,
      max_attempts: 2,
    },
  ],
  services: [{ name: "permit-app", health_path: "/healthz", max_connections: 110 }],
  tenants: [{ name: "huka270", api_keys: ["k1"] }],
};

let isSpoiling = false;
let spoiledCount = 0;
const runBySound = new Set();

/** Sends an answer whose status line reads "HTTP/1.1 000 OK". */
function spoil(call, response, engine) {
  const body = `${call.id} done`;
  const headers = Object.entries(engine.headersFor(call)).map(
    ([name, value]) => `${name}: ${value}`,
  );
  spoiledCount += 1;
  engine.record.write("engine", `${engine.id} answers ${call.id} with a spoiled status line`);
  const head = ["HTTP/1.1 000 OK", ...headers, `Content-Length: ${body.length}`];
  response.socket.end([...head, "", body].join("\r\n"));
}

await runCase(import.meta.dirname, async (scene) => {
  let answersCount = 0;
  const work = async (call, response, engine) => {
    engine.begin(call);
    if (engine.id !== "i-1") runBySound.add(call.id);
    await pause(WORK_MS);
    if (response.destroyed) return;
    if (engine.id === "i-1") answersCount += 1;
    const isSpoiled = isSpoiling && engine.id === "i-1" && answersCount % SPOILED_EVERY === 0;
    if (isSpoiled) spoil(call, response, engine);
    else engine.answer(call, response, 200, `${call.id} done`);
  };
  scene.configure(configuration);
  for (const id of ["i-1", "i-2", "i-3"])
    await scene.addEngine({ id, service: "permit-app", slots: 6, work });
  await scene.startGateways(2);
  await pause(1_000);

  const agent = createAgent();
  const attempts = [];
  const sendFor = async (seconds) => {
    const startMs = Date.now();
    for (let index = 0; Date.now() - startMs < 1_000 * seconds; index += 1) {
      const isFiling = index % 4 !== 0;
      const options = {
        method: isFiling ? "POST" : "GET",
        path: isFiling ? `/file/${attempts.length}` : `/status/${attempts.length}`,
        body: isFiling ? "a permit" : "",
      };
      const gateway = scene.gateways[attempts.length % 2];
      const sent = { ...options, host: HOST, key: "k1", deadlineMs: 4_000, agent };
      attempts.push(sendAttempt(scene, gateway, sent));
      await pause(Math.max(0, startMs + ((index + 1) * 1_000) / RATE_PER_S - Date.now()));
    }
  };
  for (let round = 1; round <= ROUNDS; round += 1) {
    await sendFor(PAUSE_S);
    isSpoiling = isTroubled;
    await sendFor(SPOILING_S);
    isSpoiling = false;
  }
  const answers = await Promise.all(attempts);
  const unanswered = answers.filter(({ status }) => status === null);
  const lost = unanswered.filter(({ id, isKept }) => isKept && runBySound.has(id));
  const served = answers.filter(({ status }) => status === 200);
  const endsCount = scene.gateways.reduce((sum, gateway) => sum + gateway.endsCount, 0);
  return {
    isBroken: lost.length > ALLOWED_LOSSES,
    summary: [
      `${answers.length} requests sent, ${served.length} served, ${unanswered.length} without an answer`,
      `i-1 spoiled ${spoiledCount} answers; gateway processes ended by themselves ${endsCount} times`,
      `${lost.length} requests from kept channels were passed on to a sound engine, and their channel ` +
        `closed without an answer; the rule allows ${ALLOWED_LOSSES}`,
    ],
  };
});
