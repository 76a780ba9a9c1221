import tap from "tap";

import * as fixtures from "../_lib/fixtures/index.js";
import * as routing from "../index.js";

tap.test("accounts are indexed by API key", async (t) => {
  const table = routing.createRoutingTable(
    fixtures.configuration({
      accounts: [
        { name: "acme", apiKeys: ["a1", "a2"], priority: null },
        { name: "other", apiKeys: [], priority: 1 },
      ],
    }),
  );
  t.equal(table.accountsByKey.get("a2")?.name, "acme");
  t.equal(table.accountsByKey.get("a3"), undefined);
});

tap.test("a configuration without accounts has no API keys", async (t) => {
  const table = routing.createRoutingTable(fixtures.configuration({ accounts: null }));
  t.equal(table.accountsByKey.size, 0);
  t.equal(table.servicesByName.get("s")?.name, "s");
});
