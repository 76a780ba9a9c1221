import * as net from "node:net";
import * as timers from "node:timers/promises";

import tap from "tap";

import * as silencingProxy from "../../../../standins/peers/silencingProxy/index.js";
import * as tcpFleet from "../../../../standins/peers/tcpFleet/index.js";
import * as stepError from "../../../_lib/stepError/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as messageCodec from "../../_lib/messageCodec/index.js";
import * as constants from "../../constants.js";

const CALL = { timeoutMs: 5_000 };

async function sendRawBytes(port: number, bytes: Buffer): Promise<boolean> {
  const socket = net.connect(port, "127.0.0.1");
  socket.on("error", () => undefined);
  socket.resume();
  socket.write(bytes);
  await new Promise((resolve) => socket.once("close", resolve));
  return true;
}

tap.test(
  "a call to an unreachable VM fails as not-run, and succeeds after the backoff",
  async (t) => {
    const clock = new virtualClocks.VirtualClock();
    await using fleet = new tcpFleet.TcpFleet(clock);
    const a = await fleet.start("a");
    const lost: string[] = [];
    a.onDisconnect((vmName) => lost.push(vmName));
    const first = (await a.call("b", "echo", 1, CALL))._unsafeUnwrapErr();
    t.equal(first.code, stepError.ErrorCode.PeerUnreachable);
    t.equal(first.execution, stepError.ExecutionState.NotRun);
    t.same(lost, ["b"]);
    t.notOk(a.notify("b", "echo", 2), "rejected during the backoff");
    const b = await fleet.start("b");
    b.register("echo", (params) => params);
    await clock.runForMs(constants.DEFAULT_PEER_OPTIONS.minBackoffMs + 10);
    t.equal((await a.call("b", "echo", 3, CALL))._unsafeUnwrap(), 3);
  },
);

tap.test(
  "an invalid, oversized or unauthenticated frame closes only its sender's connection",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    b.register("echo", (params) => params);
    const lost: string[] = [];
    a.onDisconnect((vmName) => lost.push(vmName));
    t.equal((await a.call("b", "echo", 1, CALL))._unsafeUnwrap(), 1);
    const huge = Buffer.alloc(8, 0xff);
    const garbage = messageCodec.encodeFrame(Buffer.from([0xc1, 0xc1, 0xc1]));
    const request = messageCodec.encodeRequest(1, "echo", "not authenticated");
    for (const bytes of [huge, garbage, request]) t.ok(await sendRawBytes(b.port, bytes));
    t.equal((await a.call("b", "echo", 2, CALL))._unsafeUnwrap(), 2);
    t.same(lost, [], "the connection of the other VM was not lost");
  },
);

tap.test("a VM with a different fleet key cannot connect", async (t) => {
  await using fleet = new tcpFleet.TcpFleet();
  const stranger = await fleet.start("stranger", { fleetKey: "other key" });
  const b = await fleet.start("b");
  let handledCount = 0;
  b.register("echo", () => (handledCount += 1));
  const error = (await stranger.call("b", "echo", 1, CALL))._unsafeUnwrapErr();
  t.equal(error.execution, stepError.ExecutionState.NotRun);
  t.equal(handledCount, 0);
});

tap.test(
  "messages for a VM whose address now belongs to another VM are not delivered there",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const c = await fleet.start("c");
    let handledCount = 0;
    c.register("echo", () => (handledCount += 1));
    fleet.endpoints.set("b", { address: "127.0.0.1", port: c.port });
    const error = (await a.call("b", "echo", 1, CALL))._unsafeUnwrapErr();
    t.equal(error.execution, stepError.ExecutionState.NotRun);
    t.equal(handledCount, 0);
  },
);

tap.test(
  "a silent connection is replaced, and its delayed messages are not delivered",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const shortTimeouts = { pingAfterMs: 50, silenceTimeoutMs: 200 };
    const a = await fleet.start("a", shortTimeouts);
    const b = await fleet.start("b", shortTimeouts);
    const received: unknown[] = [];
    b.register("put", (params) => received.push(params));
    await using proxy = new silencingProxy.SilencingProxy(b.port);
    fleet.endpoints.set("b", { address: "127.0.0.1", port: await proxy.listen() });
    const lost: string[] = [];
    a.onDisconnect((vmName) => lost.push(vmName));
    t.ok((await a.call("b", "put", 1, CALL)).isOk());
    proxy.silence();
    const error = (await a.call("b", "put", 2, CALL))._unsafeUnwrapErr();
    t.equal(error.execution, stepError.ExecutionState.Unknown);
    t.same(lost, ["b"]);
    t.ok((await a.call("b", "put", 3, CALL)).isOk());
    t.equal(proxy.connectionsCount, 2);
    proxy.release();
    t.ok((await a.call("b", "put", 4, CALL)).isOk());
    await timers.setTimeout(50);
    t.same(received, [1, 3, 4]);
  },
);

tap.test(
  "a pending call fails and the disconnect listener is called when a VM shuts down",
  async (t) => {
    await using fleet = new tcpFleet.TcpFleet();
    const a = await fleet.start("a");
    const b = await fleet.start("b");
    b.register("hang", () => new Promise(() => undefined));
    const lost: string[] = [];
    a.onDisconnect((vmName) => lost.push(vmName));
    const hanging = a.call("b", "hang", null, CALL);
    await timers.setTimeout(50);
    await b[Symbol.asyncDispose]();
    t.equal((await hanging)._unsafeUnwrapErr().execution, stepError.ExecutionState.Unknown);
    t.same(lost, ["b"]);
  },
);
