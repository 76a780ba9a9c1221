import * as http from "node:http";
import * as net from "node:net";

import * as fastCheck from "fast-check";
import * as neverthrow from "neverthrow";
import tap, { type Test } from "tap";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as tunnels from "../_lib/openTunnel/index.js";
import * as tunnelRequests from "../_lib/tunnelRequest/index.js";
import * as types from "../types.js";
import * as tunnelServers from "./index.js";

const { TunnelDenial } = tunnelServers;

const HOST = "127.0.0.1";

const LOAN = { waitMs: 120, forMs: 60_000 };
const linkState = types.LinkState.Reaches;

const SERVER = { id: "s1", bornAtWallMs: 5, host: "10.0.0.9", port: 80 };

interface Options {
  readonly denial?: tunnelServers.TunnelDenial;
  readonly peerHost?: string;
  readonly lendPlace?: tunnelServers.TunnelServerContext["lendPlace"];
  /** Port of the server to which all connections lead; those to it fail without one. */
  readonly serverPort?: number;
  /** Whether the server refuses connections. */
  readonly hasRefused?: boolean;
}

/** Starts a tunnel server; returns its port. */
async function start(
  t: Test,
  {
    denial,
    peerHost = HOST,
    serverPort,
    hasRefused = false,
    lendPlace = () => Promise.reject(new Error("no place was asked for")),
  }: Options = {},
): Promise<number> {
  const peer = {
    vmName: "vm-1",
    host: peerHost,
    port: 1,
    dataCentre: "dc-a",
    linkState: types.LinkState.Failing,
  };
  const tunnelServer = new tunnelServers.TunnelServer({
    bytes: new byteBudgets.ByteBudget(Infinity),
    log: diagnostics.NOOP_DECISION_LOG,
    meters: new diagnostics.Meters(),
    listPeers: () => [peer],
    findReachingVm: () => null,
    hasRefused: () => hasRefused,
    findDenial: () => denial ?? null,
    lendPlace,
    connect: async () =>
      serverPort === undefined ? neverthrow.err("refused") : neverthrow.ok(await dial(serverPort)),
  });
  const server = http.createServer();
  tunnelServer.attach(server);
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  t.teardown(() => server.close());
  t.teardown(() => tunnelServer[Symbol.dispose]());
  return (server.address() as net.AddressInfo).port;
}

/** Sends bytes, and returns the first line of the answer. */
function exchange(port: number, bytes: string): Promise<string> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: HOST, port });
    let answer = "";
    socket.on("data", (chunk) => (answer += chunk.toString()));
    socket.on("error", () => undefined);
    socket.once("close", () => resolve(answer.split("\r\n")[0] ?? ""));
    socket.end(bytes);
  });
}

function dial(port: number): Promise<net.Socket> {
  return new Promise((resolve) => {
    const socket = net.connect({ host: HOST, port }, () => resolve(socket));
  });
}

function connectRequest(
  vmName: string,
  server = SERVER,
  loan: types.PlaceLoan | null = null,
): string {
  const headers = tunnelRequests.encodeHeaders(vmName, { server, requestId: "r1", loan });
  const lines = Object.entries(headers).map(([name, value]) => `${name}: ${String(value)}`);
  const target = tunnelRequests.encodeTarget(server);
  return [`CONNECT ${target} HTTP/1.1`, `Host: ${target}`, ...lines, "", ""].join("\r\n");
}

tap.test("only live VMs of the fleet get tunnels, from their own addresses", async (t) => {
  const port = await start(t);
  t.equal(await exchange(port, connectRequest("vm-9")), `HTTP/1.1 ${TunnelDenial.UnknownVm}`);
  const otherPort = await start(t, { peerHost: "10.0.0.7" });
  t.equal(await exchange(otherPort, connectRequest("vm-1")), `HTTP/1.1 ${TunnelDenial.UnknownVm}`);
});

tap.test("a tunnel to a server that gets no work from this VM is denied", async (t) => {
  const port = await start(t, { denial: TunnelDenial.UnavailableServer });
  const answer = await exchange(port, connectRequest("vm-1"));
  t.equal(answer, `HTTP/1.1 ${TunnelDenial.UnavailableServer}`);
});

tap.test("a server that this VM does not reach either is named as the cause", async (t) => {
  const port = await start(t);
  const answer = await exchange(port, connectRequest("vm-1"));
  t.equal(answer, `HTTP/1.1 ${TunnelDenial.ServerUnreachable}`);
});

tap.test("a peer that asks for a place that this VM cannot lend gets no tunnel", async (t) => {
  const waitsMs: number[] = [];
  const lendPlace = (_server: unknown, waitMs: number): Promise<null> => {
    waitsMs.push(waitMs);
    return Promise.resolve(null);
  };
  const port = await start(t, { lendPlace });
  const answer = await exchange(port, connectRequest("vm-1", SERVER, LOAN));
  t.equal(answer, `HTTP/1.1 ${TunnelDenial.NoPlace}`);
  t.same(waitsMs, [120]);
  const other = await exchange(port, connectRequest("vm-9", SERVER, LOAN));
  t.equal(other, `HTTP/1.1 ${TunnelDenial.UnknownVm}`);
  t.equal(waitsMs.length, 1, "a stranger is lent nothing");
});

tap.test("a place is lent until the tunnel is closed, or cannot be opened", async (t) => {
  const backend = net.createServer((socket) => socket.on("error", () => undefined));
  await new Promise<void>((resolve) => backend.listen(0, HOST, resolve));
  t.teardown(() => backend.close());
  const { port: serverPort } = backend.address() as net.AddressInfo;
  for (const reached of [{ serverPort }, {}]) {
    let endLoan: () => void = () => undefined;
    const loanEnded = new Promise<void>((resolve) => (endLoan = resolve));
    const lendPlace = (): Promise<tunnelServers.LentPlace> =>
      Promise.resolve({ end: () => endLoan() });
    const socket = await dial(await start(t, { ...reached, lendPlace }));
    socket.on("error", () => undefined);
    socket.write(connectRequest("vm-1", SERVER, LOAN));
    await new Promise((resolve) => socket.once("data", resolve));
    socket.destroy();
    await loanEnded;
  }
});

/** Time after which a place of which nobody makes use has to be free again. */
const UNUSED_LOAN_MS = 5_000;

// Guards against places that a peer keeps for ever which has lost its connections, or is frozen.
for (const isReached of [true, false]) {
  const when = isReached ? "the tunnel is open" : "the server was not reached";
  tap.test(`a place is free again if the peer falls silent when ${when}`, async (t) => {
    const backend = net.createServer((socket) => socket.on("error", () => undefined));
    await new Promise<void>((resolve) => backend.listen(0, HOST, resolve));
    t.teardown(() => backend.close());
    const { port: serverPort } = backend.address() as net.AddressInfo;
    let isLent = false;
    const lendPlace = (): Promise<tunnelServers.LentPlace> => {
      isLent = true;
      return Promise.resolve({ end: () => void (isLent = false) });
    };
    const port = await start(t, isReached ? { serverPort, lendPlace } : { lendPlace });
    const socket = net.connect({ host: HOST, port, allowHalfOpen: true });
    t.teardown(() => socket.destroy());
    socket.on("error", () => undefined);
    socket.write(connectRequest("vm-1", SERVER, LOAN));
    await new Promise((resolve) => socket.once("data", resolve));
    await new Promise((resolve) => setTimeout(resolve, UNUSED_LOAN_MS));
    t.notOk(isLent);
  });
}
tap.test(
  "a peer tells a server that refuses connections from one that answers nothing",
  async (t) => {
    const { PeerCutOff, ServerUnreachable } = types.TunnelRefusal;
    const cases: readonly [Options, types.TunnelRefusal, boolean][] = [
      [{ hasRefused: true }, ServerUnreachable, true],
      [{ hasRefused: false }, ServerUnreachable, false],
      [{ hasRefused: true, denial: TunnelDenial.CutOff }, PeerCutOff, true],
    ];
    for (const [options, refusal, doesServerRefuse] of cases) {
      const port = await start(t, options);
      const peer = { vmName: "vm-2", host: HOST, port, dataCentre: "dc-a", linkState };
      const { signal } = new AbortController();
      const asked = { clock: new clocks.SystemClock(), dial: net.connect, signal };
      const opened = await tunnels.openTunnel(
        "vm-1",
        peer,
        { server: SERVER, requestId: "" },
        asked,
      );
      t.match(opened._unsafeUnwrapErr(), { refusal, doesServerRefuse });
    }
  },
);

tap.test("malformed requests are answered with an error, whatever their headers", async (t) => {
  const port = await start(t);
  const bare = "CONNECT 10.0.0.9:80 HTTP/1.1\r\nHost: x\r\n\r\n";
  t.equal(await exchange(port, bare), `HTTP/1.1 ${TunnelDenial.Malformed}`);
  const noPort = bare.replace(":80", "");
  t.equal(await exchange(port, noPort), `HTTP/1.1 ${TunnelDenial.Malformed}`);
});

tap.test("decoding never throws, and returns what was encoded", async () => {
  const headers = fastCheck.dictionary(fastCheck.string(), fastCheck.string());
  fastCheck.assert(
    fastCheck.property(fastCheck.string(), headers, (url, fields) => {
      tunnelRequests.decodeTunnelRequest({ url, headers: fields });
    }),
    { seed: 5, numRuns: 500 },
  );
  const request = { server: SERVER, requestId: "r1", loan: LOAN };
  const encoded = tunnelRequests.encodeHeaders("vm-1", request) as http.IncomingHttpHeaders;
  const url = tunnelRequests.encodeTarget(SERVER);
  const decoded = tunnelRequests.decodeTunnelRequest({ url, headers: encoded })._unsafeUnwrap();
  if (decoded.vmName !== "vm-1" || decoded.server.port !== SERVER.port) throw new Error("differs");
  if (JSON.stringify(decoded.loan) !== JSON.stringify(LOAN)) throw new Error("differs");
});
