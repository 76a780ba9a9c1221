import tap from "tap";

import * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as cliClients from "../../cli/adminClient/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as http from "../../http/index.js";
import * as settings from "../../settings/index.js";
import * as engineDefaults from "../../../standins/engine/defaultOptions/index.js";
import * as freePorts from "../../../standins/freePorts/index.js";
import * as worlds from "../../../standins/world/index.js";
import type * as daemons from "../daemon/index.js";
import * as createDaemon from "./index.js";

const ACCOUNT_KEY = "account-key";
const OPERATOR_KEY = "operator-key";
const FLEET_KEY = "a key that all virtual machines of the fleet share";

const CATALOGUE_YAML = `
kind: account
name: drafts
owner: gauja
keyHashes: ["${http.hashKey(ACCOUNT_KEY)}"]
requestsPerSecond: 100
concurrentRequests: 20
tokensPerSecond: 100000
---
kind: generation
name: draft
owner: gauja
class: streaming
model: drafter
version: "1"
maxTokens: 4000
deadlineMs: 30000
maxWaitingCount: 10
abandonAfterMs: 5000
keepFinishedMs: 60000
minLoadedEngines: 1
objectives:
  firstTokenMs: 1000
  targetRatio: 0.95
---
kind: call
name: file-permit
owner: gauja
class: interactive
service: permits
method: POST
path: /permits
semantics: once-only
keyRequired: true
keyRetentionMs: 60000
logOutage: refuse
deadlineMs: 5000
objectives:
  targetRatio: 0.99
`;

interface Setup {
  readonly daemon: daemons.Daemon;
  readonly admin: cliClients.AdminClient;
  readonly world: worlds.StandInWorld;
}

async function createOptions(world: worlds.StandInWorld): Promise<settings.Settings> {
  const [peerPort, heartbeatPort] = await freePorts.findFreePorts(2);
  const text = `
vm: { name: vm-1, region: riga, dataCentre: riga-a, peerAddress: 127.0.0.1, peerPort: ${peerPort}, heartbeatPort: ${heartbeatPort} }
callers: { address: 127.0.0.1, port: 0 }
admin:
  port: 0
  operatorKeys: [{ operator: anna, keyHash: "${http.hashKey(OPERATOR_KEY)}" }]
fleet:
  key: ${FLEET_KEY}
  regions: [{ name: riga, dataCentres: [riga-a] }]
platform: { logUrls: ["${world.log.url}"], vmListUrl: "${world.vmList.url}", weightStoreUrl: "${world.weightStore.url}" }
logging: { level: fatal }
shutdown: { balancerNoticeMs: 1, graceMs: 2000 }
`;
  return settings.parseSettings(text, "test.yaml")._unsafeUnwrap();
}

async function startSetup(store: disposableStore.DisposableStore): Promise<Setup> {
  const world = store.add(
    new worlds.StandInWorld(new clocks.SystemClock(), randoms.createRandom(1)),
  );
  await world.start();
  const daemon = store.add(
    await createDaemon.createDaemon(await createOptions(world), {
      randomSeed: 1,
      membership: { joinTimeoutMs: 100 },
    }),
  );
  const admin = new cliClients.AdminClient({ url: daemon.adminUrl, key: OPERATOR_KEY });
  await waitUntil(() => daemon.readiness().isReady);
  return { daemon, admin, world };
}

async function publish({ admin, world }: Setup): Promise<void> {
  const loaded = [{ model: "drafter", version: "1", adapters: [] }];
  const engine = await world.addEngine(engineDefaults.defaultEngineOptions("engine-1", loaded));
  const service = await world.addService("permits", "permits-1");
  const backendsYaml = `
---
{ kind: engine, name: engine-1, dataCentre: riga-a, url: "${engine.url}", memoryTokens: 20000, checksFencing: true, state: active }
---
{ kind: service, name: permits-1, service: permits, dataCentre: riga-a, url: "${service.url}", state: active }
`;
  const items = catalogue.parseCatalogueDocument(CATALOGUE_YAML + backendsYaml)._unsafeUnwrap();
  for (const item of items) {
    await admin.proposeChange({
      changeId: `change-${item.name}`,
      kind: item.kind,
      name: item.name,
      baseRevision: null,
      item,
    });
  }
}

async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 500 && !isMet(); attempt += 1) {
    await new clocks.SystemClock().sleep(20);
  }
  if (!isMet()) throw new Error("the condition was not met within 10 s");
}

function post(url: string, body: string, headers: Record<string, string>): Promise<Response> {
  return fetch(url, { method: "POST", body, headers });
}

const AUTHORIZED = { authorization: `Bearer ${ACCOUNT_KEY}` };

tap.test("one daemon serves a draft and files a permit once", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await startSetup(store);
  await publish(setup);
  const { callerUrl } = setup.daemon;

  const body = JSON.stringify({ model: "draft", prompt: "route #tokens=300", stream: true });
  const streamed = await post(`${callerUrl}/v1/completions`, body, AUTHORIZED);
  t.equal(streamed.status, 200);
  const text = await streamed.text();
  const offsets = [...text.matchAll(/^id: \S+:(\d+)$/gm)].map((match) => Number(match[1]));
  t.same(offsets, [...Array(300).keys()], "offsets are gapless, each once");
  t.ok(text.endsWith("data: [DONE]\n\n"));

  const requestId = streamed.headers.get("x-request-id") ?? "";
  const attached = await fetch(`${callerUrl}/v1/requests/${requestId}`, {
    headers: { ...AUTHORIZED, "last-event-id": `${requestId}:289` },
  });
  const rest = await attached.text();
  t.equal([...rest.matchAll(/^id: /gm)].length, 10, "re-attachment goes on after the last event");

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
});

tap.test("bad input is a 4xx problem that says not-run", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await startSetup(store);
  await publish(setup);
  const { callerUrl } = setup.daemon;
  const completions = `${callerUrl}/v1/completions`;
  const draft = JSON.stringify({ model: "draft", prompt: "p" });
  const cases: readonly [string, Promise<Response>, number][] = [
    ["malformed JSON", post(completions, "{", AUTHORIZED), 400],
    ["wrong types", post(completions, '{"model":1,"prompt":2}', AUTHORIZED), 400],
    ["unknown entry", post(completions, '{"model":"x","prompt":"p"}', AUTHORIZED), 404],
    ["missing key", post(completions, draft, {}), 401],
    ["wrong key", post(completions, draft, { authorization: "Bearer x" }), 401],
    ["operator's key", post(completions, draft, { authorization: `Bearer ${OPERATOR_KEY}` }), 401],
    ["too large a body", post(completions, "x".repeat(5_000_000), AUTHORIZED), 413],
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
  t.equal(setup.daemon.describeHeld(), "", "nothing is left behind");
});

tap.test("the operators' port refuses callers' keys", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await startSetup(store);
  await publish(setup);
  const asCaller = new cliClients.AdminClient({ url: setup.daemon.adminUrl, key: ACCOUNT_KEY });
  await t.rejects(asCaller.listItems(), /operator's Bearer key/);
  t.ok((await setup.admin.listItems()).length > 0);
});

tap.test("a daemon that leaves is not ready and ends with nothing held", async (t) => {
  const store = new disposableStore.DisposableStore();
  t.teardown(() => store[Symbol.asyncDispose]());
  const setup = await startSetup(store);
  await publish(setup);
  const { daemon } = setup;
  const body = JSON.stringify({ model: "draft", prompt: "route #tokens=200" });
  const running = post(`${daemon.callerUrl}/v1/completions`, body, AUTHORIZED);
  await waitUntil(() => daemon.describeHeld() !== "");
  const leaving = daemon.leave();
  t.equal((await fetch(`${daemon.callerUrl}/readyz`)).status, 503);
  t.equal((await running).status, 200, "what runs is finished");
  t.equal(await leaving, true);
});
