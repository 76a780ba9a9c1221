import tap from "tap";

import * as datagrams from "../index.js";

// Messages as earlier releases sent them. VMs of two releases run side by side during an upgrade, so that what
// one sends has to keep its meaning for the other. One set is added with each release; none is changed.

interface RecordedMessage {
  readonly base64: string;
  readonly kind: datagrams.DatagramKind;
  readonly expected: object;
}

const { DatagramKind } = datagrams;

/** Recorded from commit d968449. */
const MESSAGES_OF_D968449: readonly RecordedMessage[] = [
  {
    kind: DatagramKind.Heartbeat,
    base64:
      "3gASpGtpbmQBpnZtTmFtZaR2bS0xpGhvc3SpMTAuMS4wLjE5pHBvcnTNHCCqZGF0YUNlbnRyZaRkYy1h" +
      "qmNvcmVzQ291bnTLP+WZmZmZmZqvc3RhcnRlZEF0V2FsbE1zy0J6DEUGwAAApnNlbnRBdN4AAqhzdGVh" +
      "ZHlNc8tAk0oAAAAAAKZ3YWxsTXPLQnoMRQbAAACkZWNob94AAqhzdGVhZHlNc8tAk0oAAAAAAKZ3YWxs" +
      "TXPLQnoMRQbAAACzZWNob1N0YXJ0ZWRBdFdhbGxNc8tCegxFBsAQAKxyZWFjaGVzU3RvcmXDrnJlYWNo" +
      "ZXNTZXJ2ZXJzwqhpc0FuY2hvcsOmdG9waWNzkpIFDJJRy0ByyAAAAAAAq3RvcGljRXBvY2hzkgEArnRv" +
      "cGljUmV2aXNpb25zkgcArnJhdGVTdGF0ZW1lbnRzkd4ABKhzZXJ2ZXJJZKJzMaxib3JuQXRXYWxsTXMF" +
      "rXJhdGVQZXJTZWNvbmTLQAQAAAAAAAClYWdlTXMoqW92ZXJsb2Fkc5HeAAKrc2VydmljZU5hbWWlcGxh" +
      "aW6tcmVqZWN0ZWRBZ29Ncwk=",
    expected: {
      vmName: "vm-1",
      startedAtWallMs: 1_790_000_000_000,
      echoStartedAtWallMs: 1_790_000_000_001,
      reachesStore: true,
      reachesServers: false,
      linkState: undefined,
      isAnchor: true,
      topics: [
        [5, 12],
        [81, 300.5],
      ],
      topicEpochs: [1, 0],
      topicRevisions: [7, 0],
      rateStatements: [{ serverId: "s1", bornAtWallMs: 5, ratePerSecond: 2.5, ageMs: 40 }],
      overloads: [{ serviceName: "plain", rejectedAgoMs: 9 }],
    },
  },
  {
    kind: DatagramKind.Records,
    base64:
      "3gAHpGtpbmQCpnZtTmFtZaR2bS0xpXRvcGljAaVlcG9jaAGqZnJvbU9mZnNldASpZW5kT2Zmc2V0Bqdy" +
      "ZWNvcmRzkpOhYQTEAXiToWIFwA==",
    expected: {
      topic: 1,
      epoch: 1,
      fromOffset: 4,
      endOffset: 6,
      records: [
        ["a", 4],
        ["b", 5, null],
      ],
    },
  },
  {
    kind: DatagramKind.Claims,
    base64:
      "3gAFpGtpbmQDpnZtTmFtZaR2bS0xr3N0YXJ0ZWRBdFdhbGxNcwWjcHV0kZiicjEAomUxChQeAMKocmVs" +
      "ZWFzZWSRkqJyMgE=",
    expected: { put: [["r1", 0, "e1", 10, 20, 30, 0, false]], released: [["r2", 1]] },
  },
  {
    kind: DatagramKind.Leave,
    base64: "3gACpGtpbmQEpnZtTmFtZaR2bS0x",
    expected: { vmName: "vm-1" },
  },
  {
    kind: DatagramKind.Waiting,
    base64:
      "3gAFpGtpbmQFpnZtTmFtZaR2bS0xr3N0YXJ0ZWRBdFdhbGxNcwWjcHV0kZqicjGhc6RkYy1hAWTMyAoU" +
      "HgCqcmVtb3ZlZElkc5GicjI=",
    expected: { put: [["r1", "s", "dc-a", 1, 100, 200, 10, 20, 30, 0]], removedIds: ["r2"] },
  },
  {
    kind: DatagramKind.Bundle,
    base64: "3gAEpGtpbmQGpnZtTmFtZaR2bS0xpXNjb3BlAqhtZXNzYWdlc5HEAYE=",
    expected: { scope: 2 },
  },
  {
    kind: DatagramKind.Crashes,
    base64: "3gADpGtpbmQHpnZtTmFtZaR2bS0xqHN1c3BlY3RzkZUAoWvABZGVonMxBaR2bS0yKDw=",
    expected: { suspects: [[0, "k", null, 5, [["s1", 5, "vm-2", 40, 60]]]] },
  },
];

for (const { kind, base64, expected } of MESSAGES_OF_D968449) {
  tap.test(
    `a message of kind ${DatagramKind[kind]} of release d968449 is understood`,
    async (t) => {
      const decoded = datagrams.decodeDatagram(Buffer.from(base64, "base64"));
      t.equal(decoded?.kind, kind);
      t.match(decoded, expected);
    },
  );
}

tap.test("fields that a later release adds are passed over", async (t) => {
  const message: datagrams.Datagram = { kind: DatagramKind.Leave, vmName: "vm-1" };
  const extended = { ...message, addedLater: [1, { a: "b" }] };
  t.same(datagrams.decodeDatagram(datagrams.encodeDatagram(extended)), message);
});

tap.test(
  "an overload tells earlier releases rejections, and later ones brittle servers too",
  async (t) => {
    const base64 = MESSAGES_OF_D968449[0]?.base64 ?? "";
    const recorded = datagrams.decodeDatagram(Buffer.from(base64, "base64"));
    const overloads = [{ serviceName: "plain", rejectedAgoMs: 9, brittleAgoMs: 40 }];
    const encoded = datagrams.encodeDatagram({ ...recorded, overloads } as datagrams.Heartbeat);
    t.match(datagrams.decodeDatagram(encoded), { overloads });
  },
);
