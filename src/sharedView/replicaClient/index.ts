import type * as http from "node:http";
import * as zlib from "node:zlib";

import Wreck from "@hapi/wreck";
import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import * as zod from "zod";

import type * as clocks from "../../_lib/clock/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as clockReadings from "../_lib/clockReading/index.js";
import * as countItems from "../_lib/countItems/index.js";
import * as constants from "../constants.js";
import * as replicaServer from "../replicaServer/index.js";
import * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

export { REPLICA_FETCH_TIMEOUT_MS } from "../constants.js";

const { Importance, LogEvent } = diagnostics;

const OK_STATUS = 200;

const bytes = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

const replicaRecord = zod.tuple([zod.string(), zod.number().int().nonnegative(), bytes]);

const replicaMessage = zod.object({
  endOffset: zod.number().int().nonnegative(),
  records: zod.array(replicaRecord),
  // Absent in replicas of earlier releases.
  epoch: zod.number().int().nonnegative().default(0),
  retained: replicaRecord.nullish(),
  /** Key of the retained record if it is one of the records, so that it is not sent twice. */
  retainedKey: zod.string().nullish(),
});

/** Dependencies of the replica client. */
export interface ReplicaClientContext {
  readonly clock: clocks.Clock;
  readonly replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>;
  readonly log: diagnostics.DecisionLog;
  /** Fetches a whole topic from a peer; by default over HTTP. */
  readonly fetch?: typeof fetchReplica;
}

interface PendingFetch {
  readonly topic: types.Topic;
  readonly peerName: string;
  readonly startedAtMs: number;
}

/** Fetches whole topics from peers whose replicas are ahead of this VM's. */
export class ReplicaClient {
  private readonly pending = new Set<PendingFetch>();

  constructor(private readonly context: ReplicaClientContext) {}

  /**
   * Fetches a topic from a peer, unless its records arrive by datagram within a short delay. Does
   * nothing while the topic is being fetched, unless that takes long and this is another peer.
   *
   * @param peerState - the state of its replica that the peer reported
   */
  async catchUp(
    topic: types.Topic,
    peer: types.VmAddress,
    peerState: types.ReplicaState,
  ): Promise<void> {
    const replica = this.context.replicas.get(topic);
    if (replica === undefined || !this.canFetch(topic, peer)) return;
    const startedAtMs = this.context.clock.nowMs();
    const fetch = { topic, peerName: peer.vmName, startedAtMs };
    this.pending.add(fetch);
    try {
      await this.context.clock.sleep(replica.isKnown ? constants.CATCH_UP_DELAY_MS : 0);
      if (replica.isBehind(peerState)) await this.fetch(topic, peer, replica);
    } finally {
      this.pending.delete(fetch);
    }
  }

  private canFetch(topic: types.Topic, peer: types.VmAddress): boolean {
    const nowMs = this.context.clock.nowMs();
    const pending = [...this.pending].filter((fetch) => fetch.topic === topic);
    const areOthersSlow = pending.every(
      ({ peerName, startedAtMs }) =>
        peerName !== peer.vmName && nowMs - startedAtMs > constants.SLOW_FETCH_MS,
    );
    return areOthersSlow && pending.length < constants.MAX_PARALLEL_FETCHES_COUNT;
  }

  private async fetch(
    topic: types.Topic,
    peer: types.VmAddress,
    replica: topicReplicas.TopicReplica,
  ): Promise<void> {
    const sentAt = clockReadings.readClocks(this.context.clock);
    const fetched = await (this.context.fetch ?? fetchReplica)(topic, peer);
    this.context.log.record(Importance.Routine, LogEvent.ReplicaFetched, {
      topic,
      peer: peer.vmName,
      epoch: fetched.isOk() ? fetched.value.batch.epoch : null,
      endOffset: fetched.isOk() ? fetched.value.batch.endOffset : null,
      cause: fetched.isErr() ? fetched.error : null,
      elapsedMs: Math.round(this.context.clock.nowMs() - sentAt.steadyMs),
    });
    if (fetched.isErr()) return;
    const { batch, ageMs } = fetched.value;
    const confirmedAt = clockReadings.subtractDuration(sentAt, ageMs);
    const source = topicReplicas.ViewSource.Peer;
    if (batch.retained !== null) replica.applyRetained(batch.retained);
    if (replica.applyListing(batch, confirmedAt, source)) return;
    const { epoch, endOffset } = batch;
    this.context.log.record(Importance.Notable, LogEvent.ListingIgnored, {
      topic,
      source,
      peer: peer.vmName,
      epoch,
      endOffset,
      knownEndOffset: replica.endOffset,
    });
  }
}

/** A peer's replica of a topic, and its age. */
export interface FetchedReplica {
  readonly batch: types.ReplicaSnapshot;
  readonly ageMs: number;
}

/**
 * Fetches a whole topic from a peer.
 *
 * @returns the replica, or an error text if the request fails or its answer is invalid
 */
export async function fetchReplica(
  topic: types.Topic,
  peer: types.VmAddress,
): Promise<neverthrow.Result<FetchedReplica, string>> {
  const timeout = constants.REPLICA_FETCH_TIMEOUT_MS;
  let answer: http.IncomingMessage | null = null;
  try {
    const url = `http://${peer.host}:${peer.port}/replica/${topic}`;
    answer = await Wreck.request("GET", url, { timeout });
    const options = { timeout, maxBytes: constants.MAX_COMPRESSED_REPLICA_BYTES };
    const payload = await Wreck.read(answer, options);
    if (answer.statusCode !== OK_STATUS)
      return neverthrow.err(`status ${String(answer.statusCode)}`);
    return parseReplica(payload, parseAge(answer.headers[replicaServer.REPLICA_AGE_HEADER]));
  } catch (error) {
    // Wreck goes on reading an answer whose time is over, and throws when that becomes too large.
    answer?.destroy();
    return neverthrow.err(error instanceof Error ? error.message : String(error));
  }
}

/** Parses a whole number of milliseconds; NaN for anything else, also for an empty text, which is no age of 0. */
function parseAge(text: string | string[] | undefined): number {
  return typeof text === "string" && /^\d+$/.test(text) ? Number(text) : NaN;
}

function parseReplica(payload: Buffer, ageMs: number): neverthrow.Result<FetchedReplica, string> {
  const unpacked = zlib.gunzipSync(payload, { maxOutputLength: constants.MAX_REPLICA_BYTES });
  if (countItems.countItems(unpacked, constants.MAX_REPLICA_ITEMS_COUNT) === null)
    return neverthrow.err(`a replica of ${unpacked.length} bytes with too many or odd items`);
  const parsed = replicaMessage.safeParse(msgpackr.unpack(unpacked));
  if (!parsed.success || !Number.isFinite(ageMs) || ageMs < 0)
    return neverthrow.err(`invalid replica: ${payload.length} bytes, age ${ageMs} ms`);
  const { epoch, endOffset, retained, retainedKey } = parsed.data;
  const records = parsed.data.records.map(toViewRecord);
  const listed = records.find(({ key }) => key === retainedKey) ?? null;
  const batch = { epoch, endOffset, records, retained: retained ? toViewRecord(retained) : listed };
  return neverthrow.ok({ batch, ageMs });
}

function toViewRecord([key, offset, value]: zod.infer<typeof replicaRecord>): types.ViewRecord {
  return { key, offset, value: Buffer.from(value) };
}
