import { once } from "node:events";
import * as net from "node:net";

import tap from "tap";

import * as dialFrom from "./index.js";

// Guards against peers that refuse a VM because it connects from another of its machine's addresses.
tap.test(
  "connections come from the given address, where that is one of the same protocol",
  async (t) => {
    const server = net.createServer().listen(0, "127.0.0.1");
    await once(server, "listening");
    t.teardown(() => server.close());
    const { port } = server.address() as net.AddressInfo;
    const expected = { "127.20.30.40": "127.20.30.40", "::1": "127.0.0.1", "a-host": "127.0.0.1" };
    for (const [ownHost, seen] of Object.entries({ ...expected, "": "127.0.0.1" })) {
      const accepted = once(server, "connection");
      const socket = dialFrom.createDialFrom(ownHost)({ host: "127.0.0.1", port });
      const [peer] = (await accepted) as [net.Socket];
      t.equal(peer.remoteAddress, seen, ownHost);
      socket.destroy();
      peer.destroy();
    }
  },
);
