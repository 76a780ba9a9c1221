import * as timers from "node:timers/promises";

import type * as randoms from "../../../src/_lib/random/index.js";
import * as pouringBehaviours from "../../../standins/platform/pouringBehaviour/index.js";
import * as callers from "../callers/index.js";
import type * as soakFleets from "../soakFleet/index.js";

/** Calls that come at one moment, so that each VM reads some forty answers without end. */
const BURST_CALLS_COUNT = 160;

let burstsCount = 0;

/** Makes all servers but one send answers without end for a while, each in a random part: head, body or event. */
export async function letServersPour(
  fleet: soakFleets.SoakFleet,
  random: randoms.RandomSource,
): Promise<void> {
  const places = Object.values(pouringBehaviours.PourPlace);
  const pouring = fleet.servers.slice(1);
  for (const server of pouring) {
    const place = places[Math.floor(random.next() * places.length)] ?? places[0];
    if (place !== undefined)
      fleet.setFaultyBehaviour(server, pouringBehaviours.createPouringBehaviour(place));
  }
  burstsCount += 1;
  for (let index = 0; index < BURST_CALLS_COUNT; index += 1) {
    const id = `burst-${burstsCount}-${index}`;
    void callers.makeCall(id, fleet.apiKey, fleet.vms, random, fleet.checker);
  }
  await timers.setTimeout(2_000 + 2_000 * random.next());
  for (const server of pouring) fleet.restoreBehaviour(server);
}
