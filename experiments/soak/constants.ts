import type * as brittleBehaviours from "../../standins/platform/brittleBehaviour/index.js";

/** Interval at which the store is copied. */
export const COPY_INTERVAL_MS = 250;

/** Copies of the store that are kept. */
export const COPIES_COUNT = 20;

/** Time between a server's leave announcement and its removal. */
export const SERVER_DRAIN_MS = 2_500;

/** Servers of each service. */
export const SERVERS_COUNT = 3;

/** Interval between the events of a stream. */
export const EVENT_INTERVAL_MS = 25;

/** Time from the begin of work that makes a server crash until the crash. */
export const CRASH_DELAY_MS = 50;

/** Time from a crash until the server is replaced. */
export const SERVER_DOWN_MS = 1_500;

/** Interval between calls that crash servers. */
export const CRASHING_CALL_INTERVAL_MS = 150;

/** Requests that a plain server runs at a time: fewer than there are gateways, so that not each can have a slot. */
export const PLAIN_SLOTS_COUNT = 3;

/** Time after a server first states that it is brittle in which it still queues requests; then it rejects them. */
export const STABILITY_WINDOW_MS = 3_000;

/** Work of brittle servers. */
export const BRITTLE_WORK: brittleBehaviours.BrittleOptions = {
  slotsCount: PLAIN_SLOTS_COUNT,
  workMs: 250,
  downMs: 1_500,
  letsWaitMs: STABILITY_WINDOW_MS,
};

/** Rejections a second above which a brittle server crashes. */
export const MAX_REJECTIONS_PER_SECOND = 5;
