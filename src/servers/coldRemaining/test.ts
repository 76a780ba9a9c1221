import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as servers from "../index.js";

tap.test("a server's remaining cold time counts down from its message", async (t) => {
  const server = { entry: fixtures.entry({ coldRemainingMs: 800 }), receivedAtMs: 1_000 };
  t.equal(servers.coldRemainingMs(server, 1_000), 800);
  t.equal(servers.coldRemainingMs(server, 1_500), 300);
  t.equal(servers.coldRemainingMs(server, 9_000), 0);
});
