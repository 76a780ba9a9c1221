import * as msgpackr from "msgpackr";
import * as zod from "zod";

/** Kinds of datagrams between VMs. */
export enum DatagramKind {
  Heartbeat = 1,
  Records = 2,
  Claims = 3,
  Bye = 4,
  Waiting = 5,
  Bundle = 6,
}

/** To whom what is in a bundle is still to go. */
export enum BundleScope {
  /** From a VM to its data centre's collector: to all VMs. */
  Collect = 1,
  /** From one collector to another: to the VMs of that one's data centre. */
  Exchange = 2,
  /** From a collector to a VM of its data centre: to nobody else. */
  Deliver = 3,
}

const count = zod.number().int().nonnegative();
const name = zod.string().min(1).max(200);

const bytes = zod.custom<Uint8Array>((value) => value instanceof Uint8Array);

const topicState = zod.tuple([zod.number().int(), zod.number().nonnegative()]);

/** The steady and the wall clock of a VM. */
const moment = zod.object({ steadyMs: zod.number(), wallMs: zod.number() });

const heartbeat = zod.object({
  kind: zod.literal(DatagramKind.Heartbeat),
  vmName: name,
  host: name,
  port: count.max(65_535),
  dataCentre: name,
  coresCount: zod.number().positive(),
  startedAtWallMs: zod.number(),
  /** The sender's clocks; the receiver returns them as an echo. */
  sentAt: moment,
  /** The receiver's own clocks, of the last heartbeat that the sender had from it; null before. */
  echo: moment.nullable(),
  reachesStore: zod.boolean(),
  /** Whether the sender beats for all, and wants all to beat for it. */
  isAnchor: zod.boolean(),
  /** End offset and age of each topic, in the order of TOPICS. */
  topics: zod.array(topicState).max(8),
});

const record = zod.tuple([name, count, bytes.nullable()]);

const records = zod.object({
  kind: zod.literal(DatagramKind.Records),
  vmName: name,
  topic: count,
  fromOffset: count,
  endOffset: count,
  records: zod.array(record),
});

/** Place of a claim's role in the order of the roles. */
const roleIndex = count.max(2);

/** A claim that was put: id, role, server, unread, prompt, expected, produced, has first event. */
const putClaim = zod.tuple([
  name,
  roleIndex,
  name,
  zod.number(),
  zod.number(),
  zod.number(),
  zod.number(),
  zod.boolean(),
]);

/** A claim that was released: id and role. */
const releasedClaim = zod.tuple([name, roleIndex]);

const claims = zod.object({
  kind: zod.literal(DatagramKind.Claims),
  vmName: name,
  startedAtWallMs: zod.number(),
  put: zod.array(putClaim),
  released: zod.array(releasedClaim),
});

/**
 * A generation that waits: id, service, data centre, priority, when it was enqueued and when its
 * objective runs out on the sender's wall clock, unread, prompt, expected, produced.
 */
const putWaiting = zod.tuple([
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

const waiting = zod.object({
  kind: zod.literal(DatagramKind.Waiting),
  vmName: name,
  startedAtWallMs: zod.number(),
  put: zod.array(putWaiting),
  removedIds: zod.array(name),
});

/** Messages about work, each as it was sent. */
const bundle = zod.object({
  kind: zod.literal(DatagramKind.Bundle),
  vmName: name,
  scope: zod.enum(BundleScope),
  messages: zod.array(bytes).max(1_000),
});

const bye = zod.object({ kind: zod.literal(DatagramKind.Bye), vmName: name });

const datagram = zod.discriminatedUnion("kind", [heartbeat, records, claims, waiting, bundle, bye]);

/** A message between VMs. */
export type Datagram = zod.infer<typeof datagram>;
export type Heartbeat = zod.infer<typeof heartbeat>;
export type Records = zod.infer<typeof records>;
export type Claims = zod.infer<typeof claims>;
export type PutClaim = zod.infer<typeof putClaim>;
export type Bundle = zod.infer<typeof bundle>;
export type Waiting = zod.infer<typeof waiting>;
export type PutWaiting = zod.infer<typeof putWaiting>;

/** Bytes of a message. */
export function encodeDatagram(message: Datagram): Buffer {
  return msgpackr.pack(message);
}

/** The message in some bytes; null where they hold none. */
export function decodeDatagram(bytes: Uint8Array): Datagram | null {
  try {
    const parsed = datagram.safeParse(msgpackr.unpack(bytes));
    return parsed.success ? parsed.data : null;
  } catch {
    // Anyone can send bytes to a port; the caller counts what cannot be read.
    return null;
  }
}
