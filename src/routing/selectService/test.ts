import tap from "tap";

import * as randoms from "../../_lib/random/index.js";
import * as fixtures from "../_lib/fixtures/index.js";
import * as routing from "../index.js";

tap.test("services are selected in proportion to their weights", async (t) => {
  const random = randoms.createRandom(7);
  const route = fixtures.route({
    shares: [
      { serviceName: "many", weight: 90 },
      { serviceName: "few", weight: 10 },
      { serviceName: "none", weight: 0 },
    ],
  });
  const counts = new Map<string, number>();
  for (let index = 0; index < 20_000; index += 1) {
    const name = routing.selectService(route, random) ?? "undefined";
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  t.equal(counts.get("none"), undefined);
  t.equal(counts.get("undefined"), undefined);
  const fewRatio = (counts.get("few") ?? 0) / 20_000;
  t.ok(Math.abs(fewRatio - 0.1) < 0.0085, `share of the service with less weight: ${fewRatio}`);
});

tap.test("no service is selected on a route without positive weights", async (t) => {
  const random = randoms.createRandom(7);
  t.equal(routing.selectService(fixtures.route({ shares: [] }), random), undefined);
  const shares = [{ serviceName: "s", weight: 0 }];
  t.equal(routing.selectService(fixtures.route({ shares }), random), undefined);
});
