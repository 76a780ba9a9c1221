import * as fc from "fast-check";
import tap from "tap";

import * as types from "../../types.js";
import * as heartbeatCodec from "./index.js";

const KEY = "fleet key";
const HEARTBEAT: heartbeatCodec.Heartbeat = {
  kind: heartbeatCodec.HeartbeatKind.Ping,
  from: "riga-a-1",
  dataCentre: "riga-a",
  sequence: 7,
  target: "",
  digest: 4_000_000_000,
  members: [
    {
      name: "riga-a-2",
      region: "riga",
      dataCentre: "riga-a",
      peerAddress: "10.0.0.2",
      peerPort: 7_001,
      heartbeatPort: 7_000,
      state: types.MemberState.Leaving,
      incarnation: 1_800_000_000_000,
    },
  ],
  contactAges: { "riga-b": 120 },
  digests: { "riga-a": 17 },
  isReply: false,
};

tap.test("decoding an encoded heartbeat returns the same heartbeat", async (t) => {
  const bytes = heartbeatCodec.encodeHeartbeat(HEARTBEAT, KEY);
  t.same(heartbeatCodec.decodeHeartbeat(bytes, KEY), HEARTBEAT);
});

tap.test("a datagram of another fleet is refused", async (t) => {
  const bytes = heartbeatCodec.encodeHeartbeat(HEARTBEAT, "other key");
  t.equal(heartbeatCodec.decodeHeartbeat(bytes, KEY), undefined);
});

tap.test("a datagram that is truncated or has any byte changed is refused", async (t) => {
  const bytes = heartbeatCodec.encodeHeartbeat(HEARTBEAT, KEY);
  for (let position = 0; position < bytes.length; position += 1) {
    const changed = Buffer.from(bytes);
    changed[position]! ^= 1;
    t.equal(heartbeatCodec.decodeHeartbeat(changed, KEY), undefined);
    t.equal(heartbeatCodec.decodeHeartbeat(bytes.subarray(0, position), KEY), undefined);
  }
});

tap.test("arbitrary bytes are refused and never throw", async (t) => {
  fc.assert(
    fc.property(fc.uint8Array({ maxLength: 300 }), (bytes) => {
      return heartbeatCodec.decodeHeartbeat(bytes, KEY) === undefined;
    }),
    { seed: 69, numRuns: 2_000 },
  );
  t.pass();
});

tap.test("an authentic datagram with fields of the wrong type is refused", async (t) => {
  const fields = fc.jsonValue() as fc.Arbitrary<never>;
  fc.assert(
    fc.property(fields, fields, (sequence, contactAges) => {
      const wrong = { ...HEARTBEAT, sequence, contactAges };
      const bytes = heartbeatCodec.encodeHeartbeat(wrong, KEY);
      const decoded = heartbeatCodec.decodeHeartbeat(bytes, KEY);
      return decoded === undefined || Number.isInteger(decoded.sequence);
    }),
    { seed: 70, numRuns: 500 },
  );
  t.pass();
});
