import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Nested JSON arrays; their text is close to the maximum size of a record, 256 KiB. */
const NESTING_DEPTH = 100_000;

const NESTED = `${"[".repeat(NESTING_DEPTH)}${"]".repeat(NESTING_DEPTH)}`;

/** Time within which a new entry has to be used. */
const ENTRY_APPLY_MS = 2_000;

interface OddEntry {
  readonly key: string | Buffer;
  readonly value: unknown;
}

/** Lists entries of other writers, most of which name an address at which something else listens. */
function listOddEntries(port: number): Readonly<Record<string, OddEntry>> {
  const sound = {
    service: PLAIN_SERVICE,
    address: `127.0.0.1:${port}`,
    zone: "dc-a",
    version: "v1",
    slots: 24,
    state: "ready",
    cold_remaining_ms: 0,
    born: 1_000,
    sequence: 1,
  };
  const withField = (fields: object): OddEntry => ({ key: "odd", value: { ...sound, ...fields } });
  const withText = (text: string): OddEntry => ({ key: "odd", value: text });
  const json = JSON.stringify(sound);
  return {
    "a key that is not UTF-8": { key: Buffer.from([0xff, 0xfe, 0x80]), value: sound },
    "a key with a line break": { key: "odd\r\nX-Tenant: other", value: sound },
    "a key in another script": { key: "серверў", value: sound },
    "an empty key": { key: "", value: sound },
    "a long key": { key: "k".repeat(255), value: sound },
    "a port above 65535": withField({ address: "127.0.0.1:70000" }),
    "a port of 0": withField({ address: "127.0.0.1:0" }),
    "a port below 0": withField({ address: "127.0.0.1:-1" }),
    "a host that is no host": withField({ address: "!$%&/():80" }),
    "a very long host": withField({ address: `${"h".repeat(2_000)}:80` }),
    "very deep nesting": withText(NESTED),
    // Otherwise sound, so that it names a server of its own service.
    "a deeply nested unknown field": withText(
      json.replace("{", `{"more":${NESTED},`).replace(`"${PLAIN_SERVICE}"`, '"another service"'),
    ),
    "a deeply nested address": withText(json.replace(/"127[^"]*"/, NESTED)),
    "a number that is infinite": withText(json.replace('"slots":24', '"slots":1e999')),
    "a huge number of slots": withField({ slots: Number.MAX_SAFE_INTEGER }),
    "a huge time of being cold": withField({ cold_remaining_ms: 1e300 }),
    "a huge sequence": withField({ sequence: 1e300 }),
    "a start beyond all whole numbers": withField({ born: 1e300 }),
    "a long name of a service": withField({ service: "s".repeat(5_000) }),
    "bytes that cannot be read": { key: "odd", value: Buffer.from([0xff, 0x00, 0x9f, 0x92]) },
    "half an entry": withText(json.slice(0, json.length / 2)),
    "a list in place of an entry": withText("[]"),
    "null in place of an entry": withText("null"),
  };
}

// Guards against an entry of another writer that ends every process that reads it, or that keeps those beside it
// from being followed.
tap.test("odd entries among those of the servers change nothing for the others", async (t) => {
  const fleet = await testFleets.startReadyFleet(t);
  await testFleets.addReadyGateways(fleet, 2);
  const other = await fleet.addServer("other", "another service", backendServers.refuse());
  const stream = backendServers.stream({ eventsCount: 3, gapMs: 5 });
  await fleet.addServer("e1", ENGINE_SERVICE, stream);
  await fleet.addServer("p0", PLAIN_SERVICE, backendServers.answerCompletely("p0"));
  const odd = Object.entries(listOddEntries(other.port));
  for (const [index, [name, { key, value }]] of odd.entries()) {
    fleet.store.put("keyed.servers", key, value);
    const id = `p${index + 1}`;
    await fleet.addServer(id, PLAIN_SERVICE, backendServers.answerCompletely(id));
    const addedAtMs = Date.now();
    const isUsed = async (gatewayIndex: number): Promise<boolean> =>
      (await fleet.call({ path: "/file/", method: "POST", body: "x" }, gatewayIndex)).body === id;
    for (const gatewayIndex of [0, 1]) {
      await testFleets.waitUntil(() => isUsed(gatewayIndex));
      const draft = { ...testFleets.DRAFT_REQUEST, path: "/draft/" };
      t.match(await fleet.call(draft, gatewayIndex), { status: 200, isComplete: true });
    }
    t.ok(Date.now() - addedAtMs < ENTRY_APPLY_MS, `the next entry is used after ${name}`);
    fleet.store.put("keyed.servers", `p${index}`, null);
  }

  // Under keys of their own, so that the VM that starts next reads all odd entries in one listing.
  for (const [index, [, { key, value }]] of odd.entries())
    fleet.store.put("keyed.servers", key === "odd" ? `odd-${index}` : key, value);
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady(2));
  for (let index = 0; index < 20; index += 1) {
    const answer = await fleet.call({ path: "/file/", method: "POST", body: "x" }, 2);
    t.match(answer, { status: 200, body: `p${odd.length}` });
  }
  t.equal(other.calls.length, 0, "nothing was sent to an address that an odd entry names");
});
