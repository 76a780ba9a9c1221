import { once } from "node:events";
import * as net from "node:net";

import tap from "tap";

import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as cliClients from "../../cli/adminClient/index.js";
import * as engineTypes from "../../../standins/engine/types.js";
import * as localDaemons from "../../../standins/daemon/index.js";

function post(url: string, body: string, headers: Record<string, string>): Promise<Response> {
  return fetch(url, { method: "POST", body, headers });
}

const AUTHORIZED = { authorization: `Bearer ${localDaemons.ACCOUNT_KEY}` };

tap.test(
  "a daemon streams a generation and executes a call with an idempotency key once",
  async (t) => {
    const store = new disposableStore.DisposableStore();
    t.teardown(() => store[Symbol.asyncDispose]());
    const setup = await localDaemons.startLocalDaemon(store);
    await localDaemons.publishItems(setup);
    const { callerUrl } = setup.daemon;

    const body = JSON.stringify({ model: "draft", prompt: "route #tokens=300", stream: true });
    const streamed = await post(`${callerUrl}/v1/completions`, body, AUTHORIZED);
    t.equal(streamed.status, 200);
    const text = await streamed.text();
    const offsets = [...text.matchAll(/^id: \S+:(\d+)$/gm)].map((match) => Number(match[1]));
    t.same(offsets, [...Array(300).keys()], "the offsets are consecutive, without repetition");
    t.ok(text.endsWith("data: [DONE]\n\n"));

    const requestId = streamed.headers.get("x-request-id") ?? "";
    const attached = await fetch(`${callerUrl}/v1/requests/${requestId}`, {
      headers: { ...AUTHORIZED, "last-event-id": `${requestId}:289` },
    });
    const resumed = await attached.text();
    t.equal(
      [...resumed.matchAll(/^id: /gm)].length,
      10,
      "re-attachment continues after the last event",
    );

    const headers = { ...AUTHORIZED, "idempotency-key": "permit-7" };
    const first = await post(`${callerUrl}/v1/calls/file-permit`, "{}", headers);
    const second = await post(`${callerUrl}/v1/calls/file-permit`, "{}", headers);
    t.equal(first.status, 200);
    t.equal(await first.text(), await second.text());
    t.same(
      setup.world
        .serviceModel("permits")
        .countRuns()
        .map((run) => run.count),
      [1],
    );
  },
);

tap.test("invalid input is answered with a 4xx problem whose execution is not-run", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(setup);
  const { callerUrl } = setup.daemon;
  const completions = `${callerUrl}/v1/completions`;
  const draft = JSON.stringify({ model: "draft", prompt: "p" });
  const cases: readonly [string, Promise<Response>, number][] = [
    ["malformed JSON", post(completions, "{", AUTHORIZED), 400],
    ["wrong types", post(completions, '{"model":1,"prompt":2}', AUTHORIZED), 400],
    ["unknown entry", post(completions, '{"model":"x","prompt":"p"}', AUTHORIZED), 404],
    ["missing key", post(completions, draft, {}), 401],
    ["wrong key", post(completions, draft, { authorization: "Bearer x" }), 401],
    [
      "operator's key",
      post(completions, draft, { authorization: `Bearer ${localDaemons.OPERATOR_KEY}` }),
      401,
    ],
    ["body too large", post(completions, "x".repeat(5_000_000), AUTHORIZED), 413],
    ["no idempotency key", post(`${callerUrl}/v1/calls/file-permit`, "{}", AUTHORIZED), 400],
    ["unknown path", fetch(`${callerUrl}/v2`), 404],
  ];
  for (const [name, answer, status] of cases) {
    const response = await answer;
    t.equal(response.status, status, name);
    const problem = (await response.json()) as { execution: string; detail: string };
    t.equal(problem.execution, "not-run", name);
    t.ok(problem.detail.length > 0, name);
  }
  t.equal(setup.daemon.describeHeld(), "", "the daemon holds no work afterwards");
});

tap.test("the operators' port refuses a client account's key", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(setup);
  const asCaller = new cliClients.AdminClient({
    url: setup.daemon.adminUrl,
    key: localDaemons.ACCOUNT_KEY,
  });
  await t.rejects(asCaller.listItems(), /operator's Bearer key/);
  t.ok((await setup.admin.listItems()).length > 0);
});

tap.test("a daemon that leaves is not ready and finishes the work that it holds", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await localDaemons.startLocalDaemon(store);
  await localDaemons.publishItems(setup);
  const { daemon } = setup;
  const body = JSON.stringify({ model: "draft", prompt: "route #tokens=200" });
  const running = post(`${daemon.callerUrl}/v1/completions`, body, AUTHORIZED);
  await localDaemons.waitUntil(() => daemon.describeHeld() !== "");
  const leaving = daemon.leave();
  t.equal((await fetch(`${daemon.callerUrl}/readyz`)).status, 503);
  t.equal((await running).status, 200, "the running generation is finished");
  t.equal(await leaving, true);
});

// Guards against a shutdown that closes connections without an answer as soon as no generation is left.
tap.test(
  "a daemon answers the requests in progress before it closes their connections",
  async (t) => {
    const store = new disposableStore.DisposableStore();
    t.teardown(() => store[Symbol.asyncDispose]());
    const setup = await localDaemons.startLocalDaemon(store);
    await localDaemons.publishItems(setup);
    const { hostname, port } = new URL(setup.daemon.callerUrl);
    const socket = net.connect(Number(port), hostname);
    let received = "";
    let error: Error | null = null;
    socket.setEncoding("utf8").on("data", (text: string) => (received += text));
    socket.on("error", (cause) => (error = cause));
    const headers = Object.entries({ host: "vm", ...AUTHORIZED, "content-length": "2" });
    const lines = headers.map(([name, value]) => `${name}: ${value}`);
    socket.write(["POST /v1/calls/look-up HTTP/1.1", ...lines, "", "{"].join("\r\n"));
    await once(socket, "ready");
    const stopped = setup.daemon.leave().then(() => store[Symbol.asyncDispose]());
    setTimeout(() => socket.write("}"), 200);
    await once(socket, "close");
    await stopped;
    t.equal(error, null);
    t.match(received, /^HTTP\/1\.1 503[^]*"execution":"not-run"/, "it arrived after the leave");
  },
);

tap.test(
  "a caller that disconnects during an engine stall is detached, and its request abandoned",
  async (t) => {
    const store = new disposableStore.DisposableStore();
    t.teardown(() => store[Symbol.asyncDispose]());
    const setup = await localDaemons.startLocalDaemon(store);
    await localDaemons.publishItems(setup);
    setup.world.engines.get("engine-1")?.model.inject(engineTypes.EngineFault.Stalled);
    const disconnect = new AbortController();
    const body = JSON.stringify({ model: "impatient", prompt: "p #tokens=20", stream: true });
    const request = fetch(`${setup.daemon.callerUrl}/v1/completions`, {
      method: "POST",
      headers: AUTHORIZED,
      body,
      signal: disconnect.signal,
    });
    const ended = request.then((response) => response.text()).catch(() => "disconnected");
    await localDaemons.waitUntil(() => setup.daemon.describeHeld() !== "");
    disconnect.abort();
    t.equal(await ended, "disconnected");
    await localDaemons.waitUntil(() => setup.daemon.describeHeld() === "");
    t.pass("the daemon holds no work");
  },
);
