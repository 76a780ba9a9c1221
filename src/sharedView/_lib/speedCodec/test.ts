import * as msgpackr from "msgpackr";
import tap from "tap";

import type * as dispatch from "../../../dispatch/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as datagrams from "../datagrams/index.js";
import * as testMeshes from "../testMesh/index.js";
import * as speedCodec from "./index.js";

const STATEMENT: dispatch.SpeedStatement = {
  serverId: "i-0123456789abcdef",
  bornAtWallMs: 1_790_000_000_000,
  readingLog: 0.357,
  writingLog: -0.531,
  readingWeightMs: 2_400,
  writingWeightMs: 9_100,
  pauseMs: 263,
  ageMs: 140,
};

tap.test("an engine's speed is the same after encoding and decoding", async (t) => {
  t.same(speedCodec.decodeSpeed(speedCodec.encodeSpeed(STATEMENT)), STATEMENT);
});

tap.test("heartbeats carry speeds to peers, in few bytes", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const told = new testMeshes.Vm("vm-2", network, clock);
  const teller = new testMeshes.Vm("vm-1", network, clock);
  t.teardown(() => dispose(told, teller));
  teller.speeds.push(...Array.from({ length: 6 }, () => STATEMENT));
  teller.mesh.addPeerAddress({ vmName: "vm-2", host: "vm-2", port: 1 });
  await clock.runForMs(3_000);
  t.same(told.receivedSpeeds[0], ["vm-1", STATEMENT]);
  const bytes = msgpackr.pack(teller.speeds.map(speedCodec.encodeSpeed));
  t.ok(bytes.length < 400, `${bytes.length} bytes, a fraction of a datagram`);
});

tap.test("speeds that a VM cannot read do not make it drop a heartbeat", async (t) => {
  const clock = new virtualClocks.VirtualClock();
  const network = new testMeshes.Network(clock);
  const received: object[] = [];
  network
    .openSocket("vm-2")
    .onMessage((bytes) => void received.push(datagrams.decodeDatagram(bytes) ?? {}));
  const teller = new testMeshes.Vm("vm-1", network, clock);
  t.teardown(() => dispose(teller));
  teller.mesh.addPeerAddress({ vmName: "vm-2", host: "vm-2", port: 1 });
  await clock.runForMs(3_000);
  const later = { ...received[0], engineSpeeds: [{ id: "of a later release" }] };
  const decoded = datagrams.decodeDatagram(msgpackr.pack(later));
  t.match(decoded, { kind: datagrams.DatagramKind.Heartbeat, engineSpeeds: [] });
});

function dispose(...vms: readonly testMeshes.Vm[]): void {
  for (const { mesh } of vms) mesh[Symbol.dispose]();
}
