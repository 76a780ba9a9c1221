import * as net from "node:net";

import * as neverthrow from "neverthrow";
import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as servers from "../../servers/index.js";
import * as constants from "../constants.js";
import * as types from "../types.js";
import * as tunnelFinders from "./index.js";

const { LinkState, TunnelRefusal } = types;

const SERVER: servers.ServerEntry = {
  id: "s1",
  serviceName: "s",
  host: "10.0.0.9",
  port: 80,
  dataCentre: "dc-a",
  slotsCount: 1,
  state: servers.ServerState.Ready,
  coldRemainingMs: 0,
  bornAtWallMs: 1,
  sequence: 1,
};

/** How a peer answers: after a while with a tunnel (null) or a refusal; undefined for never. */
interface Answer {
  readonly afterMs: number;
  readonly refusal: types.TunnelRefusal | null | undefined;
  readonly referredVm?: string;
  readonly doesServerRefuse?: boolean;
}

const OPENS: Answer = { afterMs: 2, refusal: null };
const CUT_OFF: Answer = { afterMs: 2, refusal: TunnelRefusal.PeerCutOff };

/** A finder whose peers, each in a data centre of its own name, answer as told. */
function setUp(answers: ReadonlyMap<string, Answer>): {
  readonly clock: virtualClocks.VirtualClock;
  readonly asked: string[];
  readonly sockets: net.Socket[];
  readonly probe: () => Promise<tunnelFinders.PeerVerdict>;
  readonly find: (signal?: AbortSignal) => ReturnType<tunnelFinders.TunnelFinder["find"]>;
} {
  const clock = new virtualClocks.VirtualClock();
  const asked: string[] = [];
  const sockets: net.Socket[] = [];
  const finder = new tunnelFinders.TunnelFinder({
    clock,
    random: randoms.createRandom(1),
    vmName: "self",
    dataCentre: "dc-a",
    listPeers: () =>
      [...answers.keys()].map((vmName) => ({
        vmName,
        dataCentre: vmName.slice(0, 4),
        host: vmName,
        port: 1,
        linkState: LinkState.Reaches,
      })),
    requestTunnel: async ({ vmName }, _request, signal) => {
      asked.push(vmName);
      const failed = {
        cause: "refused",
        refusal: TunnelRefusal.PeerUnavailable,
        hasAnswered: true,
        referredVm: null,
        doesServerRefuse: false,
      };
      const {
        afterMs,
        refusal,
        referredVm = null,
        doesServerRefuse = false,
      } = answers.get(vmName)!;
      const isAborted = await clock.sleep(afterMs, signal).then(
        () => false,
        () => true,
      );
      if (isAborted || refusal === undefined) return neverthrow.err(failed);
      if (refusal !== null)
        return neverthrow.err({ ...failed, refusal, referredVm, doesServerRefuse });
      const socket = new net.Socket();
      sockets.push(socket);
      return neverthrow.ok(socket);
    },
  });
  const find = (signal = new AbortController().signal): ReturnType<typeof finder.find> =>
    finder.find(SERVER, { requestId: "r1", signal });
  const probe = (): ReturnType<typeof finder.probe> => finder.probe(SERVER);
  return { clock, asked, sockets, find, probe };
}

tap.test("the next peer is asked when one refuses, in another data centre", async (t) => {
  const { clock, asked, find } = setUp(
    new Map([
      ["dc-a-1", CUT_OFF],
      ["dc-a-2", CUT_OFF],
      ["dc-b-1", OPENS],
    ]),
  );
  const found = find();
  await clock.runForMs(10);
  t.equal((await found)._unsafeUnwrap().peer.vmName, "dc-b-1");
  t.equal(asked.length, 2);
  const again = find();
  await clock.runForMs(10);
  t.equal((await again)._unsafeUnwrap().peer.vmName, "dc-b-1");
  t.equal(asked.length, 3, "the data centre that opened a tunnel is asked first");
});

tap.test("a peer that does not answer delays a search for a short time only", async (t) => {
  const silent: Answer = { afterMs: 10_000, refusal: undefined };
  const { clock, asked, sockets, find } = setUp(
    new Map<string, Answer>([
      ["dc-a-1", silent],
      ["dc-b-1", { afterMs: 100, refusal: null }],
      ["dc-c-1", { afterMs: 90, refusal: null }],
    ]),
  );
  const found = find();
  await clock.runForMs(constants.TUNNEL_STAGGER_MS + 101);
  t.equal((await found)._unsafeUnwrap().peer.vmName, "dc-b-1");
  t.same(asked, ["dc-a-1", "dc-b-1", "dc-c-1"]);
  await clock.runForMs(100);
  t.equal(sockets.length, 1, "the later request was aborted");
});

tap.test("a peer that is cut off names the one that reaches servers", async (t) => {
  const answers = new Map<string, Answer>();
  for (let index = 0; index < 40; index += 1)
    answers.set(`dc-a-${index}`, { ...CUT_OFF, referredVm: "dc-z-1" });
  answers.set("dc-z-1", OPENS);
  for (let index = 2; index < 40; index += 1) answers.set(`dc-z-${index}`, CUT_OFF);
  const { clock, asked, find } = setUp(answers);
  const found = find();
  await clock.runForMs(20);
  t.equal((await found)._unsafeUnwrap().peer.vmName, "dc-z-1");
  t.equal(asked.length, 2);
});

tap.test("a search is bounded, and tells how each peer has answered", async (t) => {
  const answers = new Map<string, Answer>();
  for (let index = 0; index < 40; index += 1) {
    const referredVm = `dc-a-${(index + 1) % 40}`;
    answers.set(`dc-a-${index}`, { ...CUT_OFF, referredVm });
  }
  const { clock, asked, find } = setUp(answers);
  const found = find();
  await clock.runForMs(1_000);
  const { causes } = (await found)._unsafeUnwrapErr();
  t.equal(asked.length, constants.MAX_ASKED_PEERS_COUNT);
  t.equal(causes.length, asked.length);
  t.match(causes[0], /^dc-a-\d+ \(dc-a, reaches\): refused$/);
});

tap.test("peers that are cut off are not asked again at once", async (t) => {
  const { clock, asked, find } = setUp(new Map([["dc-a-1", CUT_OFF]]));
  for (const count of [1, 1]) {
    const found = find();
    await clock.runForMs(10);
    t.ok((await found).isErr());
    t.equal(asked.length, count);
  }
  await clock.runForMs(constants.PEER_SUSPENSION_MS);
  const found = find();
  await clock.runForMs(10);
  await found;
  t.equal(asked.length, 2);
});

tap.test("a search ends when its caller has left", async (t) => {
  const { clock, asked, find } = setUp(
    new Map<string, Answer>([
      ["dc-a-1", { afterMs: 100, refusal: undefined }],
      ["dc-b-1", OPENS],
    ]),
  );
  const caller = new AbortController();
  const found = find(caller.signal);
  await clock.runForMs(10);
  caller.abort();
  await clock.runForMs(1);
  t.ok((await found).isErr());
  t.same(asked, ["dc-a-1"]);
});

tap.test("only a peer of another data centre shows that a server has ended", async (t) => {
  const { PeerVerdict } = tunnelFinders;
  const refuses: Answer = { afterMs: 2, refusal: TunnelRefusal.ServerUnreachable };
  const isRefused: Answer = { ...refuses, doesServerRefuse: true };
  const isRefusedAtFailing: Answer = { ...CUT_OFF, doesServerRefuse: true };
  const silent: Answer = { afterMs: 1_000, refusal: undefined };
  const cases: readonly [Readonly<Record<string, Answer>>, tunnelFinders.PeerVerdict][] = [
    [{}, PeerVerdict.Unreached],
    [{ "dc-a-1": refuses }, PeerVerdict.Unreached],
    [{ "dc-a-1": refuses, "dc-b-1": refuses }, PeerVerdict.Unreached],
    [{ "dc-a-1": refuses, "dc-b-1": OPENS }, PeerVerdict.Reached],
    [{ "dc-a-1": refuses, "dc-b-1": silent }, PeerVerdict.Unknown],
    [{ "dc-b-1": { afterMs: 2, refusal: TunnelRefusal.PeerUnavailable } }, PeerVerdict.Unreached],
    // Busy peers are waited for, as an end that goes unnoticed lets work end further servers.
    [{ "dc-b-1": { ...refuses, afterMs: 200 } }, PeerVerdict.Unreached],
    [{ "dc-b-1": { ...OPENS, afterMs: 200 } }, PeerVerdict.Reached],
    [{ "dc-a-1": silent, "dc-b-1": silent, "dc-c-1": refuses }, PeerVerdict.Unreached],
    [{ "dc-a-1": refuses, "dc-b-1": isRefused }, PeerVerdict.Refused],
    [{ "dc-a-1": isRefused, "dc-b-1": refuses }, PeerVerdict.Unreached],
    [{ "dc-a-1": isRefused }, PeerVerdict.Refused],
    [{ "dc-b-1": isRefused, "dc-c-1": silent }, PeerVerdict.Refused],
    [{ "dc-b-1": isRefused, "dc-c-1": OPENS }, PeerVerdict.Reached],
    [{ "dc-b-1": isRefusedAtFailing, "dc-c-1": CUT_OFF }, PeerVerdict.Refused],
  ];
  for (const [answers, expected] of cases) {
    const { clock, sockets, probe } = setUp(new Map(Object.entries(answers)));
    const verdict = probe();
    await clock.runForMs(constants.PEER_PROBE_TIMEOUT_MS);
    t.equal(await verdict, expected, Object.keys(answers).join(" "));
    t.ok(sockets.every(({ destroyed }) => destroyed));
  }
});

tap.test("peers that open no tunnels at present still tell that a server has ended", async (t) => {
  const { clock, asked, find, probe } = setUp(
    new Map([["dc-b-1", { ...CUT_OFF, doesServerRefuse: true }]]),
  );
  const found = find();
  await clock.runForMs(10);
  t.ok((await found).isErr());
  const verdict = probe();
  await clock.runForMs(10);
  t.equal(await verdict, tunnelFinders.PeerVerdict.Refused);
  t.equal(asked.length, 2);
});
