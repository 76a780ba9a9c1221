import * as msgpackr from "msgpackr";
import * as zod from "zod";

import { LinkState } from "../../../serverLinks/index.js";

/** Kinds of datagrams between VMs. */
export enum DatagramKind {
  Heartbeat = 1,
  Records = 2,
  Claims = 3,
  Leave = 4,
  Waiting = 5,
  Bundle = 6,
  Crashes = 7,
}

/** The stage of a bundle's distribution, which decides where the receiver forwards its messages. */
export enum BundleScope {
  /** From a VM to its data centre's aggregator, which forwards the messages to all VMs. */
  Collect = 1,
  /** From one aggregator to another, which forwards the messages within its data centre. */
  Exchange = 2,
  /** From an aggregator to a VM of its data centre, which does not forward the messages. */
  Deliver = 3,
}

const count = zod.number().int().nonnegative();
const name = zod.string().min(1).max(200);

const bytes = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

const topicState = zod.tuple([zod.number().int(), zod.number().nonnegative()]);

/** A reading of a VM's monotonic clock (`steadyMs`) and of its wall clock. */
const clockReading = zod.object({ steadyMs: zod.number(), wallMs: zod.number() });

const ageMs = zod.number().nonnegative();
/** `brittleAgoMs` is absent in messages of earlier releases. */
const overloadFields = { serviceName: name, rejectedAgoMs: ageMs, brittleAgoMs: ageMs.optional() };
const overload = zod.object(overloadFields);

/** What a server stated about its rate, as the sender has received it. */
const rateStatement = zod.object({
  serverId: name,
  bornAtWallMs: zod.number(),
  ratePerSecond: zod.number().nonnegative().nullable(),
  ageMs,
});

/** What the sender has learned of a server's load: id, start, time of fast answers, time since a rejection. */
const encodedLoad = zod.tuple([
  name,
  zod.number(),
  zod.number().nonnegative(),
  zod.number().nonnegative().nullable(),
]);

/**
 * What the sender has observed of an engine's speed: server id, start of the server, logarithms of
 * the times for reading and writing in thousandths, their weights, longest pause, age.
 */
const encodedSpeed = zod.tuple([
  name,
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number().nonnegative(),
  zod.number().nonnegative(),
  zod.number().nonnegative(),
  zod.number().nonnegative(),
]);

const heartbeat = zod.object({
  kind: zod.literal(DatagramKind.Heartbeat),
  vmName: name,
  host: name,
  port: count.min(1).max(65_535),
  dataCentre: name,
  coresCount: zod.number().positive(),
  startedAtWallMs: zod.number(),
  /** The sender's clocks when it sent the heartbeat; the receiver returns them as `echo`. */
  sentAt: clockReading,
  /** `sentAt` of the last heartbeat that the sender received from this receiver; null if none. */
  echo: clockReading.nullable(),
  /** Start of the receiver's process that sent `echo`; absent in messages of earlier releases. */
  echoStartedAtWallMs: zod.number().nullable().optional(),
  reachesStore: zod.boolean(),
  /** Whether the sender reaches the backend servers, for earlier releases, and absent in their messages. */
  reachesServers: zod.boolean().default(true),
  /** What the sender has seen of its links to them; absent as above, and unknown values mean nothing. */
  linkState: zod.enum(LinkState).optional().catch(LinkState.Unknown),
  /** Whether the sender is a hub, which exchanges every heartbeat with the whole fleet. */
  isAnchor: zod.boolean(),
  /** End offset and age in milliseconds of each topic, in the order of TOPICS. */
  topics: zod.array(topicState).max(8),
  /** Epoch of each topic, in the same order; absent in messages of earlier releases. */
  topicEpochs: zod.array(count).max(8).default([]),
  /** Revision of each topic's retained record, in the same order; absent as above. */
  topicRevisions: zod.array(zod.number()).max(8).default([]),
  /** Absent in messages of earlier releases. */
  rateStatements: zod.array(rateStatement).max(64).readonly().default([]),
  /** Services whose servers are brittle or have rejected requests lately; absent as above. */
  overloads: zod.array(overload).max(64).readonly().default([]),
  /** Loads of plain servers; absent as above. */
  loads: zod.array(encodedLoad).max(64).readonly().default([]),
  /** The engines whose speed the sender observed last; absent as above. */
  engineSpeeds: zod.array(encodedSpeed).max(64).readonly().default([]).catch([]),
});

/** Other writers choose the keys of records; the store holds up to 255 bytes, and none. */
const recordKey = zod.string().max(255);

const record = zod.tuple([recordKey, count, bytes.nullable()]);

const records = zod.object({
  kind: zod.literal(DatagramKind.Records),
  vmName: name,
  /** Index in TOPICS. */
  topic: count,
  /** Absent in messages of earlier releases. */
  epoch: count.default(0),
  fromOffset: count,
  endOffset: count,
  records: zod.array(record),
});

/** Most claims or waiting generations whose accounts a message names. */
const MAX_ENTRIES_COUNT = 1_000;

/** Accounts and priorities beside a list of claims: earlier releases accept no longer claims. */
const origins = zod
  .object({
    /** Names; null for anonymous callers or where it is not known whose work it is. */
    accounts: zod.array(name.nullable()).max(MAX_ENTRIES_COUNT),
    /** Null where it is not known whose work it is. */
    priorities: zod.array(zod.number().nullable()).max(MAX_ENTRIES_COUNT),
  })
  .optional()
  .catch(undefined);

/** Index of a claim's role in the list of the claim codec. */
const roleIndex = count.max(2);

/**
 * A claim: request id, role, server id, unread tokens, prompt tokens, expected output tokens,
 * produced tokens, and whether the first event was delivered.
 */
const encodedClaim = zod.tuple([
  name,
  roleIndex,
  name,
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.boolean(),
]);

/** A released claim: request id and role. */
const releasedClaim = zod.tuple([name, roleIndex]);

const claims = zod.object({
  kind: zod.literal(DatagramKind.Claims),
  vmName: name,
  startedAtWallMs: zod.number(),
  /** Claims that were made or changed, or all claims in a summary. */
  put: zod.array(encodedClaim),
  released: zod.array(releasedClaim),
  /** Whose work each of `put` is, in the same order; absent in messages of earlier releases. */
  origins,
});

/**
 * A waiting generation: request id, service, data centre, priority, the times on the sender's wall
 * clock at which it was enqueued and at which its objective expires, unread tokens, prompt tokens,
 * expected output tokens, produced tokens.
 */
const encodedWaiting = zod.tuple([
  name,
  name,
  name,
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
]);

const rate = zod.number().nonnegative();

/** Rates of the calls to a plain service: all in calls a second, with the accounts that send most. */
const callDemand = zod.object({
  serviceName: name,
  served: rate,
  refused: rate,
  others: rate,
  accounts: zod.array(zod.tuple([name.nullable(), rate])).max(64),
});

const waiting = zod.object({
  kind: zod.literal(DatagramKind.Waiting),
  vmName: name,
  startedAtWallMs: zod.number(),
  /** Generations that wait at the sender. */
  put: zod.array(encodedWaiting),
  /** Request ids of generations that no longer wait there. */
  removedIds: zod.array(name),
  /** Account of each of `put`, in the same order; null for anonymous callers; absent as above. */
  accounts: zod.array(name.nullable()).max(MAX_ENTRIES_COUNT).optional().catch(undefined),
  /** Plain calls to a service that is short of room at the sender; absent as above. */
  callDemand: callDemand.optional().catch(undefined),
});

/** Encoded work updates of one or more VMs, as their senders encoded them. */
const bundle = zod.object({
  kind: zod.literal(DatagramKind.Bundle),
  vmName: name,
  scope: zod.enum(BundleScope),
  messages: zod.array(bytes).max(1_000),
});

const duration = zod.number().nonnegative();

/**
 * The end of a server: its id, the wall time of its start, the VM that observed it, its age, and the
 * time from the sending of the work to the end.
 */
const encodedEnd = zod.tuple([name, zod.number(), name, duration, duration]);

const age = duration.nullable();

/** A suspect: kind, key, time since a run survived, time since the last trial, ends of servers. */
const encodedSuspect = zod.tuple([count, name, age, age, zod.array(encodedEnd).max(64)]);

const crashes = zod.object({
  kind: zod.literal(DatagramKind.Crashes),
  vmName: name,
  suspects: zod.array(encodedSuspect).max(64),
});

const leave = zod.object({ kind: zod.literal(DatagramKind.Leave), vmName: name });

const datagram = zod.discriminatedUnion("kind", [
  heartbeat,
  records,
  claims,
  waiting,
  bundle,
  crashes,
  leave,
]);

/** A message between VMs. */
export type Datagram = zod.infer<typeof datagram>;
/** A message that reports a VM's liveness and the state of its view. */
export type Heartbeat = zod.infer<typeof heartbeat>;
/** A message with records of a topic that the sender has read from the store. */
export type Records = zod.infer<typeof records>;
/** A message with claims that the sender has made or released. */
export type Claims = zod.infer<typeof claims>;
/** A claim in a message. */
export type EncodedClaim = zod.infer<typeof encodedClaim>;
/** A message that wraps work updates for forwarding. */
export type Bundle = zod.infer<typeof bundle>;
/** A message with generations that wait at the sender, or no longer do. */
export type Waiting = zod.infer<typeof waiting>;
/** A message with what the sender knows of work that ends servers. */
export type Crashes = zod.infer<typeof crashes>;
/** A request or prompt part that may make servers crash, as encoded in a message. */
export type EncodedSuspect = zod.infer<typeof encodedSuspect>;
/** Wire format of one observation of an engine speed in a heartbeat. */
export type EncodedSpeed = zod.infer<typeof encodedSpeed>;
/** Rates of the calls to a plain service in a message. */
export type EncodedCallDemand = zod.infer<typeof callDemand>;
/** A waiting generation in a message. */
export type EncodedWaiting = zod.infer<typeof encodedWaiting>;

/** Returns what a heartbeat says of its sender's links to the servers. */
export function linkStateOf({ linkState, reachesServers }: Heartbeat): LinkState {
  // An earlier release reports that it reaches servers also when it has not tried to.
  return linkState ?? (reachesServers ? LinkState.Unknown : LinkState.Failing);
}

/** Encodes a message. */
export function encodeDatagram(message: Datagram): Buffer {
  return msgpackr.pack(message);
}

/** Decodes a message; returns null if the bytes hold no valid message. */
export function decodeDatagram(bytes: Uint8Array): Datagram | null {
  try {
    const parsed = datagram.safeParse(msgpackr.unpack(bytes));
    return parsed.success ? parsed.data : null;
  } catch {
    // Any process can send bytes to the port, so invalid bytes are not an error of this VM.
    return null;
  }
}
