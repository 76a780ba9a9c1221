import * as zlib from "node:zlib";

import type * as hapi from "@hapi/hapi";
import * as msgpackr from "msgpackr";

import type * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const NOT_FOUND_STATUS = 404;

/** Stands for any age past it; infinity has no place in a header. */
const MAX_AGE_MS = 1e9;

/** Carries the age of a replica, in milliseconds, beside its records. */
export const REPLICA_AGE_HEADER = "x-replica-age-ms";

/** Level of compression; configuration shrinks to a tenth at the fastest levels already. */
const COMPRESSION_LEVEL = 2;

interface Encoded {
  readonly endOffset: number;
  readonly body: Buffer;
}

/** Adds to a server what peers ask for: whole topics as this VM knows them. */
export function addReplicaRoutes(
  server: hapi.Server,
  replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>,
): void {
  const encoded = new Map<types.Topic, Encoded>();
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
        .response(bodyOf(encoded, topic, replica))
        .header(REPLICA_AGE_HEADER, String(Math.min(Math.ceil(replica.ageMs), MAX_AGE_MS)))
        .type("application/octet-stream");
    },
  });
}

/**
 * Records as they travel, compressed: after a change of a large configuration all VMs of the fleet
 * fetch it from one, whose link they share.
 */
function bodyOf(
  encoded: Map<types.Topic, Encoded>,
  topic: types.Topic,
  replica: topicReplicas.TopicReplica,
): Buffer {
  const { records, endOffset } = replica.snapshot();
  const known = encoded.get(topic);
  if (known?.endOffset === endOffset) return known.body;
  const packed = msgpackr.pack({
    endOffset,
    records: records.map(({ key, offset, value }) => [key, offset, value]),
  });
  const body = zlib.gzipSync(packed, { level: COMPRESSION_LEVEL });
  encoded.set(topic, { endOffset, body });
  return body;
}
