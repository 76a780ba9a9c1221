// CONFIG: after a cut from the store, machines take an old desired state for the newest, and run requests whose key
// was taken away longer than revoke_ms ago.
import { configurationOf, hasTrouble, runCase } from "../lib-2/case.mjs";
import { send } from "../lib-2/client.mjs";
import { sleep } from "../lib-2/engine.mjs";

const REVOKE_MS = 5_000;
const CUT_MS = 5_500;
/** A big_config of 476 routes, and a config_storm of a change each 0.06 s for 1.5 s. */
const ROUTES_COUNT = 476;
const STORM = { count: 25, gapMs: 60 };
/** What the store reads at once (`max_kb` is 1,024 where it is left out). */
const ANSWER_BYTES = 1_024 * 1_024;
const GONE_KEY = "xd9dnn2ctnfzs989anu6";
const KEPT_KEY = "wsjnbanfqasnmgkcuyj8";

const filing = {
  name: "r-file",
  path_prefix: "/file/",
  kind: "non_idempotent",
  service: "ledger",
  target_latency_ms: 300,
  timeout_ms: 2000,
};

/** A desired state with many routes beside the one that is used. */
function stateOf(version, keys) {
  const others = Array.from({ length: ROUTES_COUNT }, (_, index) => {
    return { ...filing, name: `r-${index}-v${version}`, path_prefix: `/idle${index}/` };
  });
  return configurationOf({
    version,
    routes: [filing, ...others],
    services: [{ name: "ledger" }],
    tenants: [{ name: "huka270", api_keys: keys, priority: 1 }],
  });
}

await runCase(import.meta.dirname, async (deployment) => {
  const { record, host, store, addEngine, addGateway, configure } = deployment;
  const behaviour = (call, response, engine) => engine.answer(call, response, "filed", 20);
  const engines = [];
  for (let index = 1; index <= 3; index += 1)
    engines.push(await addEngine({ id: `i-${index}`, service: "ledger", slots: 6, behaviour }));
  configure(stateOf(1, [GONE_KEY, KEPT_KEY]));
  const gateways = [1, 2].map((index) => addGateway({ name: `edge-${index}`, host: host(index) }));
  for (const gateway of gateways) await gateway.whenReady();
  await sleep(1_000);

  if (hasTrouble) {
    store.isSilent = true;
    record("network", "both machines are partitioned from the store", {});
  }
  const cutAt = Date.now();
  await sleep(STORM.gapMs);
  // One answer of the store holds 1 MB of records; the first change beyond it takes the key away.
  const sizeBytes = JSON.stringify(stateOf(2, [GONE_KEY, KEPT_KEY])).length;
  const lastWithKey = 1 + Math.ceil(ANSWER_BYTES / sizeBytes);
  let confirmedAt = 0;
  for (let version = 2; version < 2 + STORM.count; version += 1) {
    configure(stateOf(version, version <= lastWithKey ? [GONE_KEY, KEPT_KEY] : [KEPT_KEY]));
    if (version === lastWithKey + 1) {
      confirmedAt = Date.now();
      record("store", "has confirmed the desired state without the key", { version, sizeBytes });
    }
    await sleep(STORM.gapMs);
  }

  const pending = [];
  const sendWith = (key) => {
    const sentAt = Date.now();
    const answer = send(record, gateways[pending.length % 2], {
      path: "/file/2f",
      body: "f",
      headers: { "X-Key": key },
    });
    pending.push(answer.then((seen) => ({ ...seen, sentAt, key })));
  };
  const healAt = cutAt + CUT_MS;
  for (const endAt = confirmedAt + REVOKE_MS + 6_000; Date.now() < endAt;) {
    if (store.isSilent && Date.now() >= healAt) {
      store.isSilent = false;
      record("network", "the cut is over", {});
    }
    if (Date.now() > confirmedAt + REVOKE_MS) {
      sendWith(GONE_KEY);
      if (pending.length % 21 === 0) sendWith(KEPT_KEY);
    }
    await sleep(12);
  }
  const seen = await Promise.all(pending);
  const ran = new Set(engines.flatMap(({ runs }) => runs.map(({ attempt }) => attempt)));
  const served = seen.filter(({ key, status }) => key === KEPT_KEY && status === 200);
  record("case", "requests", { sent: seen.length, servedWithKeptKey: served.length });
  if (served.length === 0) throw new Error("nothing was served");
  const breaches = seen.filter(({ key, attempt }) => key === GONE_KEY && ran.has(attempt));
  return breaches.map(({ attempt, sentAt, status }) => {
    const laterMs = sentAt - confirmedAt;
    return `CONFIG: ${attempt} ran (${status}), sent ${laterMs} ms after its key was taken away`;
  });
});
