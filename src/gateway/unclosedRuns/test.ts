import tap from "tap";

import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as movableStreams from "../../../standins/platform/movableStreams/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE } = gatewayFleets;

const EVENTS_COUNT = 120;
const GAP_MS = 25;
const DRAFTS_COUNT = 8;

/** Longest time for which an engine may work on a run that goes on at another. */
const MAX_OVERLAP_MS = 400;

/** Returns for how long runs were worked on at one engine beside a later one. */
function listOverlapsMs(spans: readonly movableStreams.WorkSpan[]): readonly number[] {
  return spans.flatMap((next, index) =>
    spans
      .slice(0, index)
      .filter(({ requestId }) => requestId === next.requestId)
      .map(({ toMs }) => (toMs ?? Infinity) - next.fromMs),
  );
}

// Guards against a run that goes on at its backup while the engine before, which does not drop it, works on.
for (const keepsClosedRuns of [true, false]) {
  const kind = keepsClosedRuns ? "keeps" : "drops";
  tap.test(
    `a run ends at a leaving engine that ${kind} closed runs, as it goes on at its backup`,
    async (t) => {
      const fleet = await testFleets.startReadyFleet(t);
      const script = {
        eventsCount: EVENTS_COUNT,
        gapMs: GAP_MS,
        keepsClosedRuns,
        keepsBackups: true,
      };
      const streams = new movableStreams.MovableStreams(script);
      const engines: backendServers.BackendServer[] = [];
      for (const id of ["e1", "e2", "e3", "e4"]) {
        const engine = await fleet.addServer(id, ENGINE_SERVICE, backendServers.refuse());
        engine.setBehaviour(streams.createBehaviour(engine, backendServers.Framing.Chunked));
        engines.push(engine);
      }
      await testFleets.waitUntilServersKnown(fleet, engines.length);
      const drafts = Array.from({ length: DRAFTS_COUNT }, (_, index) =>
        testFleets.requestDraft(fleet, `d${index}`),
      );
      await testFleets.waitUntil(() => streams.spans.length === DRAFTS_COUNT);
      await new Promise((resolve) => setTimeout(resolve, 300));
      const [leaving] = [...engines].sort((one, other) => other.runs.length - one.runs.length);
      if (leaving === undefined) throw new Error("no engine");
      const movedCount = leaving.runs.length;
      fleet.register(leaving, ENGINE_SERVICE, "draining");

      const expectedIds = Array.from({ length: EVENTS_COUNT }, (_, index) => index + 1);
      for (const draft of drafts) {
        const answer = await draft;
        t.ok(answer.isComplete);
        t.same(testFleets.parseEventIds(answer.body), expectedIds);
      }
      await testFleets.waitUntil(() => streams.spans.every(({ toMs }) => toMs !== null));
      const overlapsMs = listOverlapsMs(streams.spans);
      t.equal(overlapsMs.length, movedCount, "each run went on elsewhere once");
      t.ok(movedCount > 0, "runs were moved");
      t.ok(
        overlapsMs.every((ms) => ms <= MAX_OVERLAP_MS),
        `overlaps: ${overlapsMs.join(", ")} ms`,
      );
      const outcomes = fleet.log.lines.flatMap(({ event, fields }) =>
        event === diagnostics.LogEvent.RunStopped ? [fields.outcome] : [],
      );
      t.comment(`orders to stop: ${outcomes.join(", ")}`);
      t.equal(outcomes.length, movedCount);
    },
  );
}
