import * as http from "node:http";
import type * as net from "node:net";
import * as zlib from "node:zlib";

import * as fc from "fast-check";
import * as msgpackr from "msgpackr";
import tap from "tap";

import * as spoiled from "../../../standins/spoiledValues/index.js";
import * as callDemandCodec from "../_lib/callDemandCodec/index.js";
import * as claimCodec from "../_lib/claimCodec/index.js";
import * as datagrams from "../_lib/datagrams/index.js";
import * as speedCodec from "../_lib/speedCodec/index.js";
import * as suspectCodec from "../_lib/suspectCodec/index.js";
import * as topicStateCodec from "../_lib/topicStateCodec/index.js";
import * as waitingCodec from "../_lib/waitingCodec/index.js";
import * as sharedView from "../index.js";
import * as replicaClients from "../replicaClient/index.js";

const { DatagramKind } = datagrams;

const CLOCK = { steadyMs: 5, wallMs: 1_790_000_000_000 };

const HEARTBEAT = {
  kind: DatagramKind.Heartbeat,
  vmName: "vm-1",
  host: "10.0.0.1",
  port: 7_200,
  dataCentre: "dc-a",
  coresCount: 1,
  startedAtWallMs: 1_790_000_000_000,
  sentAt: CLOCK,
  echo: CLOCK,
  echoStartedAtWallMs: 5,
  reachesStore: true,
  reachesServers: true,
  linkState: "reaches",
  isAnchor: false,
  topics: [[5, 12]],
  topicEpochs: [1],
  topicRevisions: [7],
  rateStatements: [{ serverId: "s1", bornAtWallMs: 5, ratePerSecond: 2.5, ageMs: 40 }],
  overloads: [{ serviceName: "plain", rejectedAgoMs: 9 }],
  loads: [["s1", 5, 6, null]],
  engineSpeeds: [["e1", 5, 6, 7, 8, 9, 10, 11]],
};

const WORK = { vmName: "vm-1", startedAtWallMs: 5 };

const MESSAGES: readonly object[] = [
  HEARTBEAT,
  {
    kind: DatagramKind.Records,
    vmName: "vm-1",
    topic: 1,
    epoch: 0,
    fromOffset: 4,
    endOffset: 6,
    records: [
      ["a", 4, Buffer.from("x")],
      ["b", 5, null],
    ],
  },
  {
    ...{ ...WORK, kind: DatagramKind.Claims, released: [["r2", 1]] },
    put: [["r1", 0, "e1", 10, 20, 30, 0, false]],
    origins: { accounts: ["acme"], priorities: [1] },
  },
  {
    ...{ ...WORK, kind: DatagramKind.Waiting, removedIds: ["r2"], accounts: ["acme"] },
    put: [["r1", "s", "dc-a", 1, 5, 6, 10, 20, 30, 0]],
    callDemand: { serviceName: "s", served: 1, refused: 2, others: 3, accounts: [["acme", 1.5]] },
  },
  { kind: DatagramKind.Bundle, vmName: "vm-1", scope: 1, messages: [Buffer.from("x")] },
  {
    kind: DatagramKind.Crashes,
    vmName: "vm-1",
    suspects: [[1, "r1", null, 5, [["s1", 5, "vm-2", 6, 7]]]],
  },
  { kind: DatagramKind.Leave, vmName: "vm-1" },
];

const packed = fc.oneof(...MESSAGES.map((message) => spoiled.spoil(message))).map(pack);

const datagramBytes = fc.oneof(
  { weight: 8, arbitrary: packed },
  spoiled.spoilBytes(packed),
  spoiled.bytes,
);

/** Decodes what a message holds, as the mesh does; the messages of some kinds hold nothing encoded. */
function decodeContent(message: datagrams.Datagram): unknown {
  if (message.kind === DatagramKind.Claims) return claimCodec.decodeClaims(message);
  if (message.kind === DatagramKind.Crashes) return suspectCodec.decodeSuspects(message.suspects);
  if (message.kind === DatagramKind.Heartbeat)
    return [
      topicStateCodec.decodeTopicStates(message),
      message.engineSpeeds.map(speedCodec.decodeSpeed),
    ];
  if (message.kind !== DatagramKind.Waiting) return null;
  const { callDemand } = message;
  return [
    waitingCodec.decodeAllWaiting(message),
    callDemand === undefined ? null : callDemandCodec.decodeCallDemand(callDemand),
  ];
}

tap.test("a datagram that is let through can be used and sent on", async () => {
  const verify = (bytes: Buffer): void => {
    const message = datagrams.decodeDatagram(bytes);
    if (message === null) return;
    spoiled.assertUsable([message, decodeContent(message)]);
    spoiled.assertSame(datagrams.decodeDatagram(datagrams.encodeDatagram(message)), message);
  };
  await spoiled.check(datagramBytes, verify, { seed: 91, runsCount: 3_000 });
});

const REPLICA = {
  endOffset: 9,
  records: [["a", 4, Buffer.from("x")]],
  epoch: 1,
  retained: ["config", 3, Buffer.from("y")],
  retainedKey: null,
};

tap.test("a replica that a peer sends is used, or is an error", async (t) => {
  let body: Buffer = Buffer.alloc(0);
  let age = "0";
  const server = http.createServer((_request, response) => {
    response.writeHead(200, { "x-replica-age-ms": age }).end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as net.AddressInfo;
  const replica = spoiled.spoil(REPLICA).map(pack);
  const content = fc.oneof(replica, spoiled.spoilBytes(replica)).map((sent) => zlib.gzipSync(sent));
  const answers = fc.tuple(
    fc.oneof({ weight: 8, arbitrary: content }, spoiled.spoilBytes(content), spoiled.bytes),
    fc.oneof({ weight: 4, arbitrary: fc.constant("12") }, spoiled.headerValue),
  );
  const verify = async ([sent, sentAge]: [Buffer, string]): Promise<void> => {
    [body, age] = [sent, sentAge];
    const peer = { vmName: "vm-1", host: "127.0.0.1", port };
    const fetched = await replicaClients.fetchReplica(sharedView.Topic.Servers, peer);
    if (fetched.isErr()) return;
    spoiled.assertUsable(fetched.value);
  };
  await spoiled.check(answers, verify, { seed: 92, runsCount: 400 });
});

function pack(value: unknown): Buffer {
  return msgpackr.pack(value);
}
