import type * as topicReplicas from "../../topicReplica/index.js";
import * as types from "../../types.js";
import type * as datagrams from "../datagrams/index.js";

/** Upper limit of the reported age; it stands for an infinite age. */
const MAX_AGE_MS = 1e9;

type EncodedStates = Pick<datagrams.Heartbeat, "topics" | "topicEpochs" | "topicRevisions">;

/** State and age of a peer's replica. */
export interface ReportedReplica {
  readonly topic: types.Topic;
  readonly state: types.ReplicaState;
  readonly ageMs: number;
}

/** Encodes states and ages of this VM's replicas, in the order of TOPICS. */
export function encodeTopicStates(
  replicaOf: (topic: types.Topic) => topicReplicas.TopicReplica,
): EncodedStates {
  const replicas = types.TOPICS.map(replicaOf);
  return {
    topics: replicas.map(({ endOffset, ageMs }) => [endOffset, Math.min(ageMs, MAX_AGE_MS)]),
    topicEpochs: replicas.map(({ state }) => state.epoch),
    topicRevisions: replicas.map(({ state }) => state.revision),
  };
}

/** Decodes the states of a peer's replicas; omits topics of which the peer knows nothing. */
export function decodeTopicStates(message: EncodedStates): readonly ReportedReplica[] {
  return types.TOPICS.flatMap((topic, index) => {
    const [endOffset = -1, ageMs = Infinity] = message.topics[index] ?? [];
    if (endOffset < 0) return [];
    const epoch = message.topicEpochs[index] ?? 0;
    const revision = message.topicRevisions[index] ?? 0;
    return [{ topic, state: { epoch, endOffset, revision }, ageMs }];
  });
}
