import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as movableStreams from "../../../standins/platform/movableStreams/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;
const { Framing } = backendServers;

const EVENTS_COUNT = 120;
const DRAFTS_COUNT = 4;

// Guards against the end of a connection that is taken for the end of the stream that its engine has stopped.
for (const framing of Object.values(Framing)) {
  tap.test(`runs with framing ${framing} go on after the last copy of their memory`, async (t) => {
    const fleet = await testFleets.startReadyFleet(t);
    const streams = new movableStreams.MovableStreams({ eventsCount: EVENTS_COUNT, gapMs: 15 });
    const first = await fleet.addServer("e1", ENGINE_SERVICE, backendServers.refuse());
    first.setBehaviour(streams.createBehaviour(first, framing));
    await testFleets.waitUntilServersKnown(fleet, 1);
    const drafts = Array.from({ length: DRAFTS_COUNT }, (_, index) =>
      testFleets.requestDraft(fleet, `d${index}`),
    );
    await testFleets.waitUntil(() => first.runs.length === DRAFTS_COUNT);
    const second = await fleet.addServer("e2", ENGINE_SERVICE, backendServers.refuse());
    second.setBehaviour(streams.createBehaviour(second, framing));
    await testFleets.waitUntilServersKnown(fleet, 2);
    await new Promise((resolve) => setTimeout(resolve, 200));
    fleet.register(first, ENGINE_SERVICE, "draining");

    const expectedIds = Array.from({ length: EVENTS_COUNT }, (_, index) => index + 1);
    for (const draft of drafts) {
      const answer = await draft;
      t.ok(answer.isComplete);
      t.same(testFleets.parseEventIds(answer.body), expectedIds);
    }
    const { stopped, continued } = streams.counts[framing];
    t.equal(stopped, DRAFTS_COUNT, "all runs were moved");
    t.equal(continued, stopped, "all went on");
  });
}
