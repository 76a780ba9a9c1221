import * as timers from "node:timers/promises";

import * as loopbackFleet from "../_lib/loopbackFleet/index.js";
import type * as formatTable from "../_lib/formatTable/index.js";

/** Columns of each measured row, in order. */
export const PEER_COLUMNS = [
  "tokens a frame",
  "frames/s through one core, both ends counted",
  "tokens/s through one core",
  "processor µs a frame, both ends",
  "bytes a frame",
] as const;

/** The columns that grow linearly with the tokens per frame. */
export const FITTED_PEER_COLUMNS = [PEER_COLUMNS[3], PEER_COLUMNS[4]] as const;

const FRAMES_COUNT = 200_000;
const FRAMES_PER_ITERATION_COUNT = 200;
const MICROSECONDS_PER_MS = 1_000;
const METHOD = "capacity.tokens";

/** Measures token frames sent between two VMs that share this process and therefore one core. */
export async function measurePeers(tokensPerFrame: number): Promise<formatTable.Row> {
  await using fleet = await loopbackFleet.LoopbackFleet.start({
    dataCentresCount: 1,
    vmsPerDataCentre: 2,
  });
  const [sender, receiver] = fleet.vms;
  if (sender === undefined || receiver === undefined)
    throw new Error("the fleet has fewer than two VMs");
  await fleet.waitUntilConverged(30_000);
  let receivedCount = 0;
  receiver.network.register(METHOD, () => {
    receivedCount += 1;
  });
  await sender.network.call(receiver.name, METHOD, null, { timeoutMs: 1_000 });
  receivedCount = 0;
  const bytesBefore = sender.metrics.countOf("peers.sent_bytes");
  const meter = new loopbackFleet.ProcessUsageMeter();
  let sentCount = 0;
  while (receivedCount < FRAMES_COUNT) {
    for (
      let index = 0;
      index < FRAMES_PER_ITERATION_COUNT && sentCount < FRAMES_COUNT;
      index += 1
    ) {
      if (sender.network.notify(receiver.name, METHOD, createFrame(sentCount, tokensPerFrame))) {
        sentCount += 1;
      }
    }
    await timers.setImmediate();
  }
  const seconds = meter.elapsedSeconds();
  const cpuMs = meter.cpuMsPerSecond() * seconds;
  const sentBytes = sender.metrics.countOf("peers.sent_bytes") - bytesBefore;
  const framesPerSecond = FRAMES_COUNT / (cpuMs / MICROSECONDS_PER_MS);
  return [
    tokensPerFrame,
    framesPerSecond,
    framesPerSecond * tokensPerFrame,
    (cpuMs * MICROSECONDS_PER_MS) / FRAMES_COUNT,
    sentBytes / FRAMES_COUNT,
  ];
}

function createFrame(offset: number, tokensPerFrame: number): unknown {
  const tokens = Array.from(
    { length: tokensPerFrame },
    (_, index) => ` tok${(offset + index) % 997}`,
  );
  return {
    requestId: "0190a5f0-9c1b-7cc2-8f00-3d2a1b0c9e8f",
    attempt: 1,
    offset,
    tokens,
    finishReason: null,
  };
}
