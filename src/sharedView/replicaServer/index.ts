import type * as http from "node:http";
import * as util from "node:util";
import * as zlib from "node:zlib";

import type * as hapi from "@hapi/hapi";
import * as msgpackr from "msgpackr";

import * as byteBudgets from "../../_lib/byteBudget/index.js";
import type * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const NOT_FOUND_STATUS = 404;

/** Upper limit of the reported age; it stands for an infinite age, which a header cannot hold. */
const MAX_AGE_MS = 1e9;

/** Header with the age of the returned replica, in milliseconds. */
export const REPLICA_AGE_HEADER = "x-replica-age-ms";

/** Gzip level; even the fastest levels reduce a configuration to a tenth of its size. */
const COMPRESSION_LEVEL = 2;

/** A replica as it is sent, with the answers that send it: one copy for all. */
class EncodedReplica {
  private readonly answers = new Set<http.ServerResponse>();
  private readonly reservation: byteBudgets.ByteReservation;

  constructor(
    readonly state: types.ReplicaState,
    readonly body: Buffer,
    bytes: byteBudgets.ByteBudget,
  ) {
    this.reservation = bytes.open({
      holder: byteBudgets.ByteHolder.Peers,
      onEvicted: () => {
        for (const answer of this.answers) answer.destroy();
      },
    });
  }

  /** Whether the body was evicted because the byte budget was exceeded. */
  get wasEvicted(): boolean {
    return this.reservation.hasEnded;
  }

  /** Reserves the bytes of the replica in the budget until all responses that contain it are closed. */
  addAnswer(answer: http.ServerResponse): void {
    this.answers.add(answer);
    answer.once("close", () => {
      this.answers.delete(answer);
      if (this.answers.size === 0) this.reservation.resize(0);
    });
    this.reservation.resize(this.body.length);
  }
}

/**
 * Adds the route by which peers fetch this VM's replica of a whole topic.
 *
 * @param bytes - counts each version of a replica once while peers read it
 */
export function addReplicaRoutes(
  server: hapi.Server,
  replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>,
  bytes: byteBudgets.ByteBudget,
): void {
  const cache = new Map<types.Topic, EncodedReplica>();
  server.route({
    method: "GET",
    path: "/replica/{topic}",
    handler: (request, toolkit) => {
      const name: unknown = request.params.topic;
      const topic = types.TOPICS.find((known) => known === name);
      const replica = topic && replicas.get(topic);
      if (topic === undefined || replica?.isKnown !== true)
        return toolkit.response().code(NOT_FOUND_STATUS);
      const cached = cache.get(topic);
      const isCurrent =
        cached?.wasEvicted === false && util.isDeepStrictEqual(cached.state, replica.state);
      const encoded = isCurrent
        ? cached
        : new EncodedReplica(replica.state, encodeBody(replica), bytes);
      cache.set(topic, encoded);
      encoded.addAnswer(request.raw.res);
      return toolkit
        .response(encoded.body)
        .header(REPLICA_AGE_HEADER, String(Math.min(Math.ceil(replica.ageMs), MAX_AGE_MS)))
        .type("application/octet-stream");
    },
  });
}

/**
 * Encodes and compresses a replica. After a change of a large configuration all VMs may fetch it from one VM, whose link
 * limits the transfer; hence the compression, and one result until the replica's state changes.
 */
function encodeBody(replica: topicReplicas.TopicReplica): Buffer {
  const { epoch, endOffset, records, retained } = replica.snapshot();
  const isListed = retained !== null && records.includes(retained);
  const packed = msgpackr.pack({
    epoch,
    endOffset,
    records: records.map(toTuple),
    retained: retained === null || isListed ? null : toTuple(retained),
    retainedKey: isListed ? retained.key : null,
  });
  return zlib.gzipSync(packed, { level: COMPRESSION_LEVEL });
}

function toTuple({ key, offset, value }: types.ViewRecord): readonly unknown[] {
  return [key, offset, value];
}
