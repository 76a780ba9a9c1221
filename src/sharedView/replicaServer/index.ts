import type * as hapi from "@hapi/hapi";
import * as msgpackr from "msgpackr";

import type * as topicReplicas from "../topicReplica/index.js";
import * as types from "../types.js";

const NOT_FOUND_STATUS = 404;

/** Stands for any age past it; infinity has no place in a message. */
const MAX_AGE_MS = 1e9;

/** Adds to a server what peers ask for: whole topics as this VM knows them. */
export function addReplicaRoutes(
  server: hapi.Server,
  replicas: ReadonlyMap<types.Topic, topicReplicas.TopicReplica>,
): void {
  server.route({
    method: "GET",
    path: "/replica/{topic}",
    handler: (request, toolkit) => {
      const name: unknown = request.params.topic;
      const topic = types.TOPICS.find((known) => known === name);
      const replica = topic && replicas.get(topic);
      if (replica?.isKnown !== true) return toolkit.response().code(NOT_FOUND_STATUS);
      return toolkit.response(encodeReplica(replica)).type("application/octet-stream");
    },
  });
}

function encodeReplica(replica: topicReplicas.TopicReplica): Buffer {
  const { records, endOffset } = replica.snapshot();
  return msgpackr.pack({
    endOffset,
    ageMs: Math.min(replica.ageMs, MAX_AGE_MS),
    records: records.map(({ key, offset, value }) => [key, offset, value]),
  });
}
