// An engine leaves that does not drop a request when its channel closes; its runs have backups at others.
import * as callers from "../standins-3/callers.mjs";
import * as gateways from "../standins-3/gateway.mjs";
import * as models from "../standins-3/model.mjs";
import * as platform from "../standins-3/platform.mjs";
import * as trials from "../standins-3/trial.mjs";

const ENGINES_COUNT = 8;
const STREAMS_COUNT = 24;
const EVENTS_COUNT = 150;
const GAP_MS = 60;
/** Time for which a request may still be worked on at the engine before. */
const OVERLAP_MS = 400;
const HEADERS = { ...callers.GENERATION_HEADERS, "X-Token-Count": "1460,1200" };

await trials.runTrial(import.meta.dirname, async (context) => {
  const { record, onEnd } = context;
  trials.require(gateways.Gateway.isBuilt, "the build of the deploy file has not been run");
  const { store, fleet } = await platform.startDeployment(context, 3);
  const pool = new models.ModelPool();
  const entries = [];
  for (let index = 0; index < ENGINES_COUNT; index += 1) {
    // Most engines drop a request when its channel closes; the first one does not.
    const options = { eventsCount: EVENTS_COUNT, gapMs: GAP_MS, dropsClosed: index > 0 };
    const engine = await pool.add(`i-7f3a91c${index}`, options);
    onEnd(() => engine.stop());
    const zone = ["tln-a", "tln-b", "mrd-c"][index % 3];
    const fields = { service: platform.MODEL_SERVICE.name, address: engine.address, zone };
    const entry = new platform.ServerEntry(store, engine.id, fields);
    entry.begin();
    onEnd(() => entry.end());
    entries.push(entry);
  }
  await platform.awaitFleet(fleet);
  const streams = Array.from({ length: STREAMS_COUNT }, (_, index) => {
    const options = { path: `/lohu930/${index}`, timeLeftMs: 39_000, headers: HEADERS };
    return callers.call(fleet[index % fleet.length], options);
  });
  await trials.pause(2000);
  if (trials.hasTrouble) {
    record("i-7f3a91c0 reports draining, and goes on serving");
    entries[0].drain();
  }
  for (const { id, status, isComplete, body, error = "none" } of await Promise.all(streams)) {
    const count = body.split("\n\n").length - 1;
    record(`stream ${id}: ${status}, ${count} events, complete ${isComplete}, error ${error}`);
  }
  while (pool.spans.some(({ toMs }) => toMs === null)) await trials.pause(100);
  for (const { id, engine, fromMs, toMs, firstEvent } of pool.spans)
    record(`${id} at ${engine} from event ${firstEvent}: ${fromMs} to ${toMs}`);
  const breaches = [];
  for (const next of pool.spans) {
    const before = pool.spans.find(({ id, fromMs }) => id === next.id && fromMs < next.fromMs);
    const overlapMs = before === undefined ? 0 : before.toMs - next.fromMs;
    if (overlapMs > OVERLAP_MS)
      breaches.push(
        `TWICE: ${next.id} at ${before.engine} for ${overlapMs} ms beside ${next.engine}`,
      );
  }
  const moved = pool.spans.filter(({ firstEvent }) => firstEvent > 1);
  trials.require(!trials.hasTrouble || moved.length > 0, "no run went on at another engine");
  return breaches;
});
