import * as dgram from "node:dgram";
import * as timers from "node:timers/promises";

import * as neverthrow from "neverthrow";
import tap from "tap";

import * as counters from "../../../standins/telemetry/counters/index.js";
import * as clocks from "../../_lib/clock/index.js";
import * as logging from "../../_lib/logger/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as platform from "../../controlPlane/types.js";
import * as constants from "../constants.js";
import * as fleetMembership from "../fleetMembership/index.js";
import * as types from "../types.js";
import * as udpSocket from "./index.js";

const ADDRESS = "127.0.0.1";

tap.test("VMs discover each other over UDP, and refuse unauthenticated datagrams", async (t) => {
  const sockets = await Promise.all([1, 2, 3].map(() => udpSocket.UdpSocket.open(ADDRESS, 0)));
  const listed = sockets.map((socket, index) => ({
    name: `vm-${index}`,
    dataCentre: "riga-a",
    address: `${ADDRESS}:${socket.port}`,
    listing: platform.VmListing.Live,
  }));
  const metrics = new counters.CounterModel();
  const memberships = sockets.map((socket, index) => {
    const self = {
      name: `vm-${index}`,
      region: "riga",
      dataCentre: "riga-a",
      peerAddress: ADDRESS,
      peerPort: 1,
      heartbeatPort: socket.port,
    };
    const membership = new fleetMembership.FleetMembership(
      {
        ...constants.DEFAULT_MEMBERSHIP_OPTIONS,
        heartbeatIntervalMs: 20,
        self,
        fleetKey: "fleet key",
      },
      socket,
      { list: () => Promise.resolve(neverthrow.ok(listed)) },
      new clocks.SystemClock(),
      randoms.createRandom(index),
      logging.NOOP_LOGGER,
      metrics,
    );
    membership.start();
    return membership;
  });
  const stranger = dgram.createSocket("udp4");
  for (const socket of sockets) stranger.send(Buffer.alloc(900, 7), socket.port, ADDRESS);
  const areAllLive = () =>
    memberships.every((membership) => {
      const live = membership.members().filter(({ state }) => state === types.MemberState.Live);
      return live.length === 3;
    });
  for (let attempt = 0; attempt < 200 && !areAllLive(); attempt += 1) await timers.setTimeout(25);
  t.ok(areAllLive());
  t.equal(metrics.countOf("fleet.refused_datagrams"), 3);
  stranger.close();
  for (const membership of memberships) await membership[Symbol.asyncDispose]();
  for (const socket of sockets) await socket[Symbol.asyncDispose]();
});
