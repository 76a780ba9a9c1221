import * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";

const { PLAIN_SERVICE } = gatewayFleets;

/** Nested JSON arrays; their text is close to the maximum size of a record, 256 KiB. */
const NESTING_DEPTH = 100_000;

const NESTED = `${"[".repeat(NESTING_DEPTH)}${"]".repeat(NESTING_DEPTH)}`;

/** An entry that another writer has put among those of the servers. */
export interface OddEntry {
  readonly key: string | Buffer;
  readonly value: unknown;
}

/**
 * Lists entries of other writers, by what is odd about them; most name an address at which something else listens.
 *
 * @param port - the port of that address
 */
export function listOddEntries(port: number): Readonly<Record<string, OddEntry>> {
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
