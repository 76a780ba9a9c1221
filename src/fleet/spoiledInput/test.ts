import * as crypto from "node:crypto";

import * as fc from "fast-check";
import * as msgpackr from "msgpackr";
import tap from "tap";

import * as spoiled from "../../../standins/spoiledValues/index.js";
import * as heartbeatCodec from "../_lib/heartbeatCodec/index.js";
import * as leaseRecords from "../_lib/leaseRecords/index.js";
import * as parseListedAddresses from "../_lib/parseListedAddress/index.js";

const KEY = "fleet key";

const HEARTBEAT = [
  ...[0, "riga-a-1", "riga-a", 7, "", 4_000_000_000],
  [["riga-a-2", "riga", "riga-a", "10.0.0.2", 7_001, 7_000, 0, 1_800_000_000_000]],
  ...[{ "riga-b": 120 }, { "riga-a": 17 }, false],
];

const LEASE = {
  type: "lease",
  action: "acquire",
  recordId: "a",
  purpose: "placement",
  scope: "e1",
  holder: "vm-1",
  instance: "i-1",
  termMs: 5_000,
  followsOffset: null,
  fencingNumber: 7,
};

/** Prepends the code that authenticates a body. */
function sign(body: Buffer): Buffer {
  const mac = crypto.createHmac("sha256", KEY).update(body).digest().subarray(0, 16);
  return Buffer.concat([mac, body]);
}

tap.test("a heartbeat of a member that is let through can be sent on", async () => {
  const packr = new msgpackr.Packr({ useRecords: false });
  const packed = spoiled.spoil(HEARTBEAT).map((value) => packr.pack(value));
  const bytes = fc.oneof({ weight: 4, arbitrary: packed }, spoiled.spoilBytes(packed));
  const verify = (body: Buffer): void => {
    const decoded = heartbeatCodec.decodeHeartbeat(sign(body), KEY);
    if (decoded === undefined) return;
    spoiled.assertUsable(decoded);
    const encoded = heartbeatCodec.encodeHeartbeat(decoded, KEY);
    spoiled.assertSame(heartbeatCodec.decodeHeartbeat(encoded, KEY), decoded);
  };
  await spoiled.check(bytes, verify, { seed: 31, runsCount: 2_000 });
});

tap.test("a record of a lease that is let through can be written again", async () => {
  const verify = (payload: unknown): void => {
    const record = leaseRecords.parseLeaseRecord(payload);
    if (record === undefined) return;
    spoiled.assertUsable(record);
    spoiled.assertSame(leaseRecords.parseLeaseRecord(JSON.parse(JSON.stringify(record))), record);
  };
  await spoiled.check(spoiled.spoil(LEASE), verify, { seed: 32, runsCount: 2_000 });
});

tap.test("a listed address that is let through can be sent to", async () => {
  const texts = fc.oneof(
    spoiled.oddValue.map(String),
    spoiled.oddValue.map((port) => `10.0.0.1:${String(port)}`),
  );
  const verify = (text: string): void => {
    const endpoint = parseListedAddresses.parseListedAddress(text, 7_000);
    spoiled.assertUsable(endpoint);
  };
  await spoiled.check(texts, verify, { seed: 33, runsCount: 2_000 });
});
