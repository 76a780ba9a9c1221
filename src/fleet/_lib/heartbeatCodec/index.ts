import * as crypto from "node:crypto";

import * as msgpackr from "msgpackr";
import * as zod from "zod";

import * as types from "../../types.js";

/** Kinds of datagrams between members. */
export enum HeartbeatKind {
  Ping = 0,
  Ack = 1,
  /** Asks the receiver to ping a third member and to forward its ack. */
  IndirectPing = 2,
  /** Digests per data centre; the receiver sends the records of those that differ. */
  Digests = 3,
  /** Records of the members of data centres whose digests differ. */
  Records = 4,
}

/** One datagram between members. */
export interface Heartbeat {
  readonly kind: HeartbeatKind;
  /** Name of the sender. */
  readonly from: string;
  /** Data centre of the sender. */
  readonly dataCentre: string;
  /** Number chosen by the sender of a ping and repeated in its ack. */
  readonly sequence: number;
  /** Name of the member to ping, in an indirect ping. */
  readonly target: string;
  /** Digest of the sender's whole member table. */
  readonly digest: number;
  /** Records of members whose state has changed, or differs between the tables. */
  readonly members: readonly types.VmMember[];
  /** Milliseconds since the last contact of the sender's data centre with others, by name. */
  readonly contactAges: Readonly<Record<string, number>>;
  /** Digests per data centre. */
  readonly digests: Readonly<Record<string, number>>;
  /** Whether these digests answer those of the receiver, which then sends none back. */
  readonly isReply: boolean;
}

/** Length of the message authentication code, an HMAC-SHA-256 truncated to half its length. */
const MAC_BYTES = 16;
const MAX_NAME_LENGTH = 255;
const MAX_PORT = 65_535;
const STATES = Object.values(types.MemberState);

const nameSchema = zod.string().min(1).max(MAX_NAME_LENGTH);
const memberSchema = zod.tuple([
  nameSchema,
  nameSchema,
  nameSchema,
  nameSchema,
  zod.int().min(1).max(MAX_PORT),
  zod.int().min(1).max(MAX_PORT),
  zod
    .int()
    .min(0)
    .max(STATES.length - 1),
  zod.int().nonnegative(),
]);
const heartbeatSchema = zod.tuple([
  zod.enum(HeartbeatKind),
  nameSchema,
  nameSchema,
  zod.int().nonnegative(),
  zod.string().max(MAX_NAME_LENGTH),
  zod.int().nonnegative(),
  zod.array(memberSchema),
  zod.record(nameSchema, zod.number().nonnegative()),
  zod.record(nameSchema, zod.int().nonnegative()),
  zod.boolean(),
]);

const packr = new msgpackr.Packr({ useRecords: false, moreTypes: false, mapsAsObjects: true });

/** Encodes a heartbeat and prepends a message authentication code. */
export function encodeHeartbeat(heartbeat: Heartbeat, fleetKey: string): Buffer {
  const body = packr.pack([
    heartbeat.kind,
    heartbeat.from,
    heartbeat.dataCentre,
    heartbeat.sequence,
    heartbeat.target,
    heartbeat.digest,
    heartbeat.members.map(encodeMember),
    heartbeat.contactAges,
    heartbeat.digests,
    heartbeat.isReply,
  ]);
  return Buffer.concat([macOf(body, fleetKey), body]);
}

/**
 * Authenticates and decodes a datagram.
 *
 * @returns the heartbeat, or undefined for a datagram that is not authentic or not valid
 */
export function decodeHeartbeat(bytes: Uint8Array, fleetKey: string): Heartbeat | undefined {
  if (bytes.length <= MAC_BYTES) return undefined;
  const body = bytes.subarray(MAC_BYTES);
  const mac = bytes.subarray(0, MAC_BYTES);
  if (!crypto.timingSafeEqual(mac, macOf(body, fleetKey))) return undefined;
  const parsed = heartbeatSchema.safeParse(unpack(body));
  if (!parsed.success) return undefined;
  const [kind, from, dataCentre, sequence, target, digest, members, ages, digests, isReply] =
    parsed.data;
  return {
    kind,
    from,
    dataCentre,
    sequence,
    target,
    digest,
    members: members.map(decodeMember),
    contactAges: ages,
    digests,
    isReply,
  };
}

/** Returns the size in bytes of a member's record in a datagram. */
export function encodedRecordBytes(member: types.VmMember): number {
  return packr.pack(encodeMember(member)).length;
}

function unpack(body: Uint8Array): unknown {
  try {
    return packr.unpack(body) as unknown;
  } catch {
    return undefined;
  }
}

function macOf(body: Uint8Array, fleetKey: string): Buffer {
  return crypto.createHmac("sha256", fleetKey).update(body).digest().subarray(0, MAC_BYTES);
}

function encodeMember(member: types.VmMember): readonly unknown[] {
  return [
    member.name,
    member.region,
    member.dataCentre,
    member.peerAddress,
    member.peerPort,
    member.heartbeatPort,
    STATES.indexOf(member.state),
    member.incarnation,
  ];
}

function decodeMember(fields: zod.infer<typeof memberSchema>): types.VmMember {
  const [name, region, dataCentre, peerAddress, peerPort, heartbeatPort, state, incarnation] =
    fields;
  return {
    name,
    region,
    dataCentre,
    peerAddress,
    peerPort,
    heartbeatPort,
    state: STATES[state] ?? types.MemberState.Suspect,
    incarnation,
  };
}
