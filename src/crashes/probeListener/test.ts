import * as net from "node:net";

import tap from "tap";

import * as serverLinks from "../../serverLinks/index.js";
import * as types from "../types.js";
import * as probeListener from "./index.js";

const TIMEOUT_MS = 40;

/** Starts to listen on a free port; returns the listener and its address. */
async function listen(): Promise<{ listener: net.Server; address: serverLinks.Address }> {
  const listener = net.createServer((socket) => socket.destroy());
  await new Promise<void>((resolve) => listener.listen(0, "127.0.0.1", resolve));
  const { port } = listener.address() as net.AddressInfo;
  return { listener, address: { host: "127.0.0.1", port } };
}

/** Keeps this process busy for a while, once a connection that was just opened has begun. */
function blockOnceBegun(durationMs: number): void {
  process.nextTick(() => {
    const endsAtMs = performance.now() + durationMs;
    while (performance.now() < endsAtMs);
  });
}

tap.test("a server is told from a closed port and from an address that is silent", async (t) => {
  const { Listens, Refuses, Silent } = types.ListenerState;
  const { listener, address } = await listen();
  const probe = (dial = serverLinks.dialTcp): Promise<types.ListenerState> =>
    probeListener.probeListener(dial, address, TIMEOUT_MS);
  t.equal(await probe(), Listens);
  t.equal(await probe(() => new net.Socket()), Silent);
  await new Promise((resolve) => listener.close(resolve));
  t.equal(await probe(), Refuses);
});

// The timer of a process that lagged came before the refusal that had already arrived.
tap.test("a refusal that arrived while this process was busy counts", async (t) => {
  const { listener, address } = await listen();
  await new Promise((resolve) => listener.close(resolve));
  const state = probeListener.probeListener(serverLinks.dialTcp, address, TIMEOUT_MS);
  blockOnceBegun(2 * TIMEOUT_MS);
  t.equal(await state, types.ListenerState.Refuses);
});
