import tap from "tap";

import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as dispatch from "../../../dispatch/index.js";
import * as datagrams from "../datagrams/index.js";
import * as workExchanges from "./index.js";

/** Longest payload of a datagram that a network of 1,500-byte frames carries in one piece. */
const MAX_DATAGRAM_BYTES = 1_472;

const NEED = {
  promptTokens: 3_000,
  unreadTokens: 3_000,
  expectedOutputTokens: 750,
  producedTokens: 0,
};

const CLAIM: dispatch.Claim = {
  ...NEED,
  requestId: "b6f7d0c1e2a34f58-0",
  role: dispatch.ClaimRole.Run,
  vmName: "vm-1",
  serverId: "engine-17",
  hasFirstEvent: false,
};

const WAITING: dispatch.FleetWaiting = {
  requestId: "r1",
  vmName: "vm-1",
  serviceName: "s",
  priority: 1,
  need: { ...NEED, dataCentre: "dc-a" },
  enqueuedAtWallMs: 100,
  objectiveAtWallMs: 1_900,
  avoidedIds: new Set(),
};

/** The exchange of a VM, and the messages that it sends. */
function createExchange(): {
  readonly exchange: workExchanges.WorkExchange;
  readonly claims: dispatch.ClaimTable;
  readonly fleetQueue: dispatch.FleetQueue;
  readonly sent: datagrams.Datagram[];
  readonly sizes: number[];
  readonly demands: (readonly [string, dispatch.CallDemandReport])[];
} {
  const clock = new virtualClocks.VirtualClock();
  const claims = new dispatch.ClaimTable(clock);
  const fleetQueue = new dispatch.FleetQueue(clock);
  const address = { host: "h", port: 1, dataCentre: "dc-a", coresCount: 1 };
  const sent: datagrams.Datagram[] = [];
  const sizes: number[] = [];
  const demands: [string, dispatch.CallDemandReport][] = [];
  const exchange = new workExchanges.WorkExchange(
    {
      self: { vmName: "vm-1", startedAtWallMs: 1, ...address },
      claims,
      fleetQueue,
      listOwnWaiting: () => [],
      onCallDemand: (vmName, report) => demands.push([vmName, report]),
      onWorkChange: () => undefined,
    },
    (message) => {
      sizes.push(message.length);
      sent.push(datagrams.decodeDatagram(message)!);
    },
  );
  return { exchange, claims, fleetQueue, sent, sizes, demands };
}

tap.test("a VM learns whose work the claims and waiting generations of another are", async (t) => {
  const { exchange, sent } = createExchange();
  const receiver = createExchange();
  const origin = { accountName: "acme", priority: 2 };
  exchange.announceClaim({ ...CLAIM, origin });
  exchange.announceWaiting({ ...WAITING, accountName: "acme" });
  receiver.exchange.onClaims(sent[0] as datagrams.Claims);
  receiver.exchange.onWaiting(sent[1] as datagrams.Waiting);
  const run = dispatch.ClaimRole.Run;
  t.same(receiver.claims.find(CLAIM.requestId, run)?.origin, origin);
  t.equal(receiver.fleetQueue.listByService("s")[0]?.accountName, "acme");
});

tap.test("messages without accounts and with unusable ones are understood", async (t) => {
  const { exchange, sent } = createExchange();
  exchange.announceClaim({ ...CLAIM, origin: { accountName: null, priority: 0 } });
  exchange.announceWaiting({ ...WAITING, accountName: null });
  for (const added of [{}, { origins: 7, accounts: "x" }]) {
    const receiver = createExchange();
    const [claims, waiting] = sent.map((message) => {
      const copy: Record<string, unknown> = { ...message };
      delete copy.origins;
      delete copy.accounts;
      const changed = { ...copy, ...added } as unknown as datagrams.Datagram;
      return datagrams.decodeDatagram(datagrams.encodeDatagram(changed));
    });
    receiver.exchange.onClaims(claims as datagrams.Claims);
    receiver.exchange.onWaiting(waiting as datagrams.Waiting);
    t.equal(receiver.claims.find(CLAIM.requestId, dispatch.ClaimRole.Run)?.origin, undefined);
    t.equal(receiver.fleetQueue.listByService("s")[0]?.accountName, undefined);
  }
});

tap.test("the lists that earlier releases read keep their form", async (t) => {
  const { exchange, sent } = createExchange();
  exchange.announceClaim({ ...CLAIM, origin: { accountName: "acme", priority: 2 } });
  exchange.announceWaiting({ ...WAITING, accountName: "acme" });
  t.equal((sent[0] as datagrams.Claims).put[0]?.length, 8);
  t.equal((sent[1] as datagrams.Waiting).put[0]?.length, 10);
});

tap.test("a full part of a summary with accounts fits a datagram", async (t) => {
  const { exchange, claims, sizes } = createExchange();
  for (let index = 0; index < 12; index += 1) {
    const origin = { accountName: `municipality-${index}`, priority: 2 };
    claims.put({ ...CLAIM, requestId: `${CLAIM.requestId}${index}`, origin });
  }
  exchange.sendSummary();
  t.equal(sizes.length, 1);
  t.ok(sizes[0]! <= MAX_DATAGRAM_BYTES, `${sizes[0]} bytes`);
});

tap.test("a VM learns another's demand for a service that is short of room", async (t) => {
  const { exchange, sent, sizes } = createExchange();
  const byAccount = new Map<string | null, number>([[null, 0.25]]);
  for (let index = 0; index < 15; index += 1) byAccount.set(`municipality-${index}`, index + 0.5);
  const rates = { servedPerSecond: 12.5, refusedPerSecond: 3, otherPerSecond: 0.75 };
  const report = { serviceName: "plain", ...rates, byAccount };
  exchange.announceCallDemand(report);
  const receiver = createExchange();
  receiver.exchange.onWaiting(sent[0] as datagrams.Waiting);
  t.same(receiver.demands, [["vm-1", report]]);
  t.ok(sizes[0]! <= MAX_DATAGRAM_BYTES, `${sizes[0]} bytes`);
  t.match(sent[0], { put: [], removedIds: [] }, "earlier releases read an empty update");
});

// Guards against a process over its memory, as messages may come from any process.
tap.test("claims and waiting generations of others have a largest number", async (t) => {
  const { exchange, claims, fleetQueue } = createExchange();
  const run = dispatch.ClaimRole.Run;
  claims.put({ ...CLAIM, requestId: "own" });
  const origin = { startedAtWallMs: 1, vmName: "vm-3" };
  const put: datagrams.EncodedClaim[] = [["sound", 0, "engine-1", 1, 1, 1, 1, true]];
  const waiting: datagrams.EncodedWaiting[] = [["sound", "s", "dc-a", 1, 1, 1, 1, 1, 1, 1]];
  const { Claims, Waiting } = datagrams.DatagramKind;
  for (let index = 0; index < 50_000; index += 1) {
    const vmName = index % 3 === 0 ? "vm-4" : "vm-5";
    const id = `r${index}`;
    const server = `engine-${index % 7}`;
    const claimed: datagrams.EncodedClaim = [id, 0, server, 1, 1, 1, 1, true];
    exchange.onClaims({ ...origin, vmName, kind: Claims, put: [claimed], released: [] });
    const queued: datagrams.EncodedWaiting = [id, "s", "dc-a", 1, 1, 1, 1, 1, 1, 1];
    exchange.onWaiting({ ...origin, vmName, kind: Waiting, put: [queued], removedIds: [] });
  }
  const claimsCount = ["vm-4", "vm-5"].flatMap((name) => claims.listByVm(name)).length;
  t.ok(claimsCount <= 6_000, `${claimsCount} claims`);
  t.ok(fleetQueue.waitingCount <= 6_000, `${fleetQueue.waitingCount} waiting generations`);
  exchange.onClaims({ ...origin, kind: Claims, put, released: [] });
  exchange.onWaiting({ ...origin, kind: Waiting, put: waiting, removedIds: [] });
  t.ok(claims.find("sound", run), "a VM with few of them finds room");
  t.ok(fleetQueue.listByService("s").some(({ requestId }) => requestId === "sound"));
  t.ok(exchange.listTurnedAway().every(({ value }) => value > 40_000));
  t.ok(claims.find("own", run), "the own ones are not counted");
  claims.dropVm("vm-4");
  fleetQueue.dropVm("vm-4");
  exchange.onClaims({ ...origin, vmName: "vm-5", kind: Claims, put, released: [] });
  t.equal(claims.find("sound", run)?.vmName, "vm-5", "those of a VM that left make room");
});
