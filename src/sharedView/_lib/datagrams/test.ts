import * as fastCheck from "fast-check";
import * as msgpackr from "msgpackr";
import tap from "tap";

import * as serverLinks from "../../../serverLinks/index.js";
import * as datagrams from "./index.js";

tap.test("decoding an encoded message returns the same message", async (t) => {
  const message: datagrams.Claims = {
    kind: datagrams.DatagramKind.Claims,
    vmName: "vm-1",
    startedAtWallMs: 5,
    put: [["r1", 0, "e1", 10, 20, 30, 0, false]],
    released: [["r2", 1]],
  };
  t.same(datagrams.decodeDatagram(datagrams.encodeDatagram(message)), message);
});

tap.test("records with values and records of deleted keys are encoded and decoded", async (t) => {
  const message: datagrams.Records = {
    kind: datagrams.DatagramKind.Records,
    vmName: "vm-1",
    topic: 1,
    epoch: 0,
    fromOffset: 4,
    endOffset: 6,
    records: [
      ["a", 4, Buffer.from("x")],
      ["b", 5, null],
    ],
  };
  const decoded = datagrams.decodeDatagram(datagrams.encodeDatagram(message));
  t.equal(decoded?.kind, datagrams.DatagramKind.Records);
  t.match(decoded, { fromOffset: 4, endOffset: 6 });
});

tap.test(
  "decoding random bytes and random msgpack values returns null and never throws",
  async () => {
    const anything = fastCheck.oneof(
      fastCheck.uint8Array(),
      fastCheck.anything().map((value) => {
        try {
          return msgpackr.pack(value);
        } catch {
          return Buffer.alloc(0);
        }
      }),
      fastCheck
        .record({ kind: fastCheck.integer({ min: 0, max: 5 }) })
        .map((value) => msgpackr.pack(value)),
    );
    fastCheck.assert(
      fastCheck.property(anything, (bytes) => datagrams.decodeDatagram(bytes) === null),
      { seed: 6, numRuns: 500 },
    );
  },
);

tap.test("what other releases say of their links to the servers is understood", async (t) => {
  const { LinkState } = serverLinks;
  const states: readonly [object, serverLinks.LinkState][] = [
    [{ linkState: LinkState.Reaches, reachesServers: true }, LinkState.Reaches],
    [{}, LinkState.Unknown],
    [{ reachesServers: true }, LinkState.Unknown],
    [{ reachesServers: false }, LinkState.Failing],
    [{ linkState: "of a later release", reachesServers: true }, LinkState.Unknown],
  ];
  const clock = { steadyMs: 1, wallMs: 1 };
  for (const [fields, expected] of states) {
    const heartbeat = {
      kind: datagrams.DatagramKind.Heartbeat,
      vmName: "vm-1",
      host: "10.0.0.1",
      port: 1,
      dataCentre: "dc-a",
      coresCount: 1,
      startedAtWallMs: 1,
      sentAt: clock,
      echo: null,
      reachesStore: true,
      isAnchor: false,
      topics: [],
      ...fields,
    };
    const decoded = datagrams.decodeDatagram(msgpackr.pack(heartbeat));
    if (decoded?.kind !== datagrams.DatagramKind.Heartbeat) throw new Error("not decoded");
    t.equal(datagrams.linkStateOf(decoded), expected, JSON.stringify(fields));
    t.same(decoded.loads, [], "loads of servers are optional");
  }
});

// Guards against a message that peers drop whole, as one of its records has a key of another writer.
tap.test("records with any key that the store can hold are decoded", async (t) => {
  for (const key of ["", "k".repeat(255)]) {
    const message: datagrams.Records = {
      kind: datagrams.DatagramKind.Records,
      vmName: "vm-1",
      topic: 1,
      epoch: 0,
      fromOffset: 4,
      endOffset: 6,
      records: [
        [key, 4, Buffer.from("x")],
        ["b", 5, null],
      ],
    };
    const decoded = datagrams.decodeDatagram(datagrams.encodeDatagram(message));
    t.match(decoded, { records: [[key], ["b"]] });
  }
});
