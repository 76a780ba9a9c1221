import * as net from "node:net";
import * as v8 from "node:v8";
import * as vm from "node:vm";

import tap from "tap";

import * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as tunnels from "./index.js";

const TUNNELS_COUNT = 20;

v8.setFlagsFromString("--expose-gc");
const collectGarbage = vm.runInNewContext("gc") as () => void;

// Guards against calls that wait for a peer that is silent, as the timer of their limit was collected as garbage.
tap.test("a silent peer is waited for no longer than the limit", async (t) => {
  const sockets: net.Socket[] = [];
  const server = net.createServer((socket) => sockets.push(socket.on("error", () => undefined)));
  await new Promise<void>((resolve) => server.listen(0, "127.0.0.1", resolve));
  t.teardown(() => {
    for (const socket of sockets) socket.destroy();
    server.close();
  });
  const address = { host: "127.0.0.1", port: (server.address() as net.AddressInfo).port };
  const request = { server: { ...address, id: "e1", bornAtWallMs: 1 }, requestId: "r1" };
  const { signal } = new AbortController();
  const dial = ({ host, port }: types.Address): net.Socket => net.connect(port, host);
  const options = { clock: new clocks.SystemClock(), dial, signal };
  const linkState = types.LinkState.Unknown;
  const peer = { ...address, vmName: "vm-2", dataCentre: "dc-a", linkState };
  const opening = Array.from({ length: TUNNELS_COUNT }, () =>
    tunnels.openTunnel("vm-1", peer, request, options),
  );
  await new Promise((resolve) => setTimeout(resolve, 50));
  collectGarbage();
  const limit = new Promise((resolve) => setTimeout(resolve, 4 * constants.TUNNEL_TIMEOUT_MS));
  const outcomes = await Promise.race([Promise.all(opening), limit.then(() => null)]);
  t.equal(outcomes?.filter((outcome) => outcome.isErr()).length, TUNNELS_COUNT);
});
