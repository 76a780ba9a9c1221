import * as clocks from "../../src/_lib/clock/index.js";
import type * as disposableStore from "../../src/_lib/disposableStore/index.js";
import * as randoms from "../../src/_lib/random/index.js";
import * as catalogue from "../../src/catalogue/index.js";
import * as cliClients from "../../src/cli/adminClient/index.js";
import * as daemons from "../../src/daemon/index.js";
import * as http from "../../src/http/index.js";
import * as settings from "../../src/settings/index.js";
import * as engineDefaults from "../engine/defaultOptions/index.js";
import * as freePorts from "../freePorts/index.js";
import * as worlds from "../world/index.js";

/** API key of the only client account. */
export const ACCOUNT_KEY = "account-key";

/** Key of the only operator. */
export const OPERATOR_KEY = "operator-key";

const FLEET_KEY = "a key that all virtual machines of the fleet share";

const CATALOGUE_YAML = `
kind: account
name: drafts
owner: gauja
keyHashes: ["${http.hashKey(ACCOUNT_KEY)}"]
requestsPerSecond: 10000
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
kind: generation
name: impatient
owner: gauja
class: streaming
model: drafter
version: "1"
maxTokens: 4000
deadlineMs: 60000
maxWaitingCount: 10
abandonAfterMs: 300
keepFinishedMs: 1000
minLoadedEngines: 1
objectives: { targetRatio: 0.95 }
---
kind: call
name: look-up
owner: gauja
class: interactive
service: permits
method: POST
path: /look-up
semantics: idempotent
keyRequired: false
deadlineMs: 5000
objectives: { targetRatio: 0.99 }
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

/** One daemon on loopback, with its stand-ins in the same process. */
export interface LocalDaemon {
  readonly daemon: daemons.Daemon;
  readonly admin: cliClients.AdminClient;
  readonly world: worlds.StandInWorld;
}

async function createSettings(
  world: worlds.StandInWorld,
  { callersYaml = "", adminYaml = "", limitsYaml = "" }: LocalDaemonOptions,
): Promise<settings.Settings> {
  const [peerPort, heartbeatPort] = await freePorts.findFreePorts(2);
  const text = `
vm: { name: vm-1, region: riga, dataCentre: riga-a, peerAddress: 127.0.0.1, peerPort: ${peerPort}, heartbeatPort: ${heartbeatPort} }
callers: { address: 127.0.0.1, port: 0${callersYaml} }
admin:
  port: 0${adminYaml}
  operatorKeys: [{ operator: anna, keyHash: "${http.hashKey(OPERATOR_KEY)}" }]
fleet:
  key: ${FLEET_KEY}
  regions: [{ name: riga, dataCentres: [riga-a] }]
platform: { logUrls: ["${world.log.url}"], vmListUrl: "${world.vmList.url}", weightStoreUrl: "${world.weightStore.url}" }
logging: { level: fatal }
limits: { ${limitsYaml} }
shutdown: { balancerNoticeMs: 1, graceMs: 2000 }
`;
  return settings.parseSettings(text, "test.yaml")._unsafeUnwrap();
}

/** YAML text that is inserted into sections of the default settings. */
export interface LocalDaemonOptions {
  readonly callersYaml?: string;
  readonly adminYaml?: string;
  readonly limitsYaml?: string;
}

/** Starts a daemon and waits until it is ready; the store disposes of it and its stand-ins. */
export async function startLocalDaemon(
  store: disposableStore.DisposableStore,
  options: LocalDaemonOptions = {},
): Promise<LocalDaemon> {
  const world = store.add(
    new worlds.StandInWorld(new clocks.SystemClock(), randoms.createRandom(1)),
  );
  await world.start();
  const daemon = store.add(
    await daemons.createDaemon(await createSettings(world, options), {
      randomSeed: 1,
      membership: { joinTimeoutMs: 100 },
    }),
  );
  const admin = new cliClients.AdminClient({ url: daemon.adminUrl, key: OPERATOR_KEY });
  await waitUntil(() => daemon.readiness().isReady);
  return { daemon, admin, world };
}

/**
 * Starts a stand-in engine and a stand-in server of a plain service, and publishes both in the catalogue
 * with generation and call entries and a client account.
 */
export async function publishItems({ admin, world }: LocalDaemon): Promise<void> {
  const loaded = [{ model: "drafter", version: "1", adapters: [] }];
  const engine = await world.addEngine(
    engineDefaults.createDefaultEngineOptions("engine-1", loaded),
  );
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

/** Polls a condition every 20 ms; throws if it does not hold within 10 s. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  for (let attempt = 0; attempt < 500 && !isMet(); attempt += 1) {
    await new clocks.SystemClock().sleep(20);
  }
  if (!isMet()) throw new Error("the awaited condition did not hold within 10 s");
}
