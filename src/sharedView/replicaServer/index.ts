import * as util from "node:util";
import * as zlib from "node:zlib";

import type * as hapi from "@hapi/hapi";
import * as msgpackr from "msgpackr";

import type * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const NOT_FOUND_STATUS = 404;

/** Upper limit of the reported age; it stands for an infinite age, which a header cannot hold. */
const MAX_AGE_MS = 1e9;

/** Header with the age of the returned replica, in milliseconds. */
export const REPLICA_AGE_HEADER = "x-replica-age-ms";

/** Gzip level; even the fastest levels reduce a configuration to a tenth of its size. */
const COMPRESSION_LEVEL = 2;

interface EncodedReplica {
  readonly state: types.ReplicaState;
  readonly body: Buffer;
}

/** Adds the route by which peers fetch this VM's replica of a whole topic. */
export function addReplicaRoutes(
  server: hapi.Server,
  replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>,
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
      return toolkit
        .response(encodeBody(cache, topic, replica))
        .header(REPLICA_AGE_HEADER, String(Math.min(Math.ceil(replica.ageMs), MAX_AGE_MS)))
        .type("application/octet-stream");
    },
  });
}

/**
 * Encodes and compresses a replica, and caches the result until the replica's state changes. After a
 * change of a large configuration all VMs may fetch it from one VM, whose link limits the transfer;
 * hence the compression.
 */
function encodeBody(
  cache: Map<types.Topic, EncodedReplica>,
  topic: types.Topic,
  replica: topicReplicas.TopicReplica,
): Buffer {
  const { state } = replica;
  const cached = cache.get(topic);
  if (cached !== undefined && util.isDeepStrictEqual(cached.state, state)) return cached.body;
  const { epoch, endOffset, records, retained } = replica.snapshot();
  const isListed = retained !== null && records.includes(retained);
  const packed = msgpackr.pack({
    epoch,
    endOffset,
    records: records.map(toTuple),
    retained: retained === null || isListed ? null : toTuple(retained),
    retainedKey: isListed ? retained.key : null,
  });
  const body = zlib.gzipSync(packed, { level: COMPRESSION_LEVEL });
  cache.set(topic, { state, body });
  return body;
}

function toTuple({ key, offset, value }: types.ViewRecord): readonly unknown[] {
  return [key, offset, value];
}
