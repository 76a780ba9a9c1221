import * as net from "node:net";

import tap from "tap";

import * as testFleets from "../_lib/testFleet/index.js";

const CONNECTIONS_COUNT = 3;

// Guards against answers to collectors of metrics and to peers that take the process's time and memory.
tap.test("connections with many requests at a time are closed, and others answered", async (t) => {
  const fleet = await testFleets.startFleet(t);
  fleet.configure();
  await fleet.addGateway();
  await testFleets.waitUntil(() => fleet.isReady());
  const metricsUrl = `http://${fleet.operatorsAddress()}/metrics`;
  const metricsPort = Number(new URL(metricsUrl).port);
  const paths = [
    { port: metricsPort, path: "/metrics" },
    { port: fleet.peersPort(), path: "/replica/configuration" },
  ];
  let closedCount = 0;
  for (const { port, path } of paths) {
    for (let index = 0; index < CONNECTIONS_COUNT; index += 1) {
      const request = `GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`;
      const socket = net.connect(port, "127.0.0.1", () => socket.write(request.repeat(1_000)));
      socket.on("error", () => undefined);
      socket.on("close", () => (closedCount += 1));
      t.teardown(() => socket.destroy());
    }
  }
  await testFleets.waitUntil(() => closedCount === paths.length * CONNECTIONS_COUNT);
  const metrics = await (await fetch(metricsUrl)).text();
  for (const server of ["metrics", "peers"]) {
    const count = `refused_connections_total{server="${server}",reason="pipelined"} 3`;
    t.match(metrics, count);
  }
  t.ok(await fleet.isReady());
});
