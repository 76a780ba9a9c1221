import * as crypto from "node:crypto";
import type * as net from "node:net";

import * as zod from "zod";

import * as stepError from "../../../_lib/stepError/index.js";
import type * as frameSource from "../frameSource/index.js";
import * as messageCodec from "../messageCodec/index.js";

/** Who dials whom, and as which of its connections. */
export interface ConnectionClaim {
  readonly from: string;
  readonly to: string;
  /** Differs from one start of the dialling process to the next, and rises where clocks do. */
  readonly startedAtWallMs: number;
  /** Counts the connections that the dialler has made to this VM. */
  readonly connectionNumber: number;
}

/** Both sides of the handshake prove that they hold the fleet key. */
enum Role {
  Dialler = "dialler",
  Acceptor = "acceptor",
}

const PROTOCOL = "chiveferry-peer-1";
const NONCE_BYTES = 16;
const PROOF_BYTES = 32;

const nonceSchema = zod.instanceof(Uint8Array).refine((bytes) => bytes.length === NONCE_BYTES);
const proofSchema = zod.instanceof(Uint8Array).refine((bytes) => bytes.length === PROOF_BYTES);

const helloSchema = zod.object({
  protocol: zod.literal(PROTOCOL),
  from: zod.string().min(1).max(255),
  to: zod.string().min(1).max(255),
  startedAtWallMs: zod.number(),
  connectionNumber: zod.int().nonnegative(),
  nonce: nonceSchema,
});
const challengeSchema = zod.object({ nonce: nonceSchema, proof: proofSchema });
const responseSchema = zod.object({ proof: proofSchema });
const acceptedSchema = zod.object({ accepted: zod.literal(true) });

interface Nonces {
  readonly dialler: Uint8Array;
  readonly acceptor: Uint8Array;
}

/**
 * Proves the dialler's identity to a VM, and checks that the VM holds the fleet key and is the
 * one that was meant.
 *
 * @throws a StepError where the other end fails the check
 */
export async function authenticateAsDialler(
  socket: net.Socket,
  source: frameSource.FrameSource,
  claim: ConnectionClaim,
  fleetKey: string,
): Promise<void> {
  const diallerNonce = crypto.randomBytes(NONCE_BYTES);
  writeValue(socket, { protocol: PROTOCOL, ...claim, nonce: diallerNonce });
  const challenge = await readValue(source, challengeSchema, claim.to);
  const nonces = { dialler: diallerNonce, acceptor: challenge.nonce };
  if (!isProof(challenge.proof, proofOf(Role.Acceptor, claim, nonces, fleetKey))) {
    throw authenticationError("the other end does not hold the fleet key", claim.to);
  }
  writeValue(socket, { proof: proofOf(Role.Dialler, claim, nonces, fleetKey) });
  await readValue(source, acceptedSchema, claim.to);
}

/**
 * Checks that a dialler holds the fleet key and meant this VM.
 *
 * @returns the dialler's claim, proven
 * @throws a StepError where it fails the check
 */
export async function authenticateAsAcceptor(
  socket: net.Socket,
  source: frameSource.FrameSource,
  selfName: string,
  fleetKey: string,
): Promise<ConnectionClaim> {
  const { nonce, from, to, startedAtWallMs, connectionNumber } = await readValue(
    source,
    helloSchema,
    "unknown",
  );
  const claim = { from, to, startedAtWallMs, connectionNumber };
  if (to !== selfName) throw authenticationError(`this VM is not ${to}`, from);
  const nonces = { dialler: nonce, acceptor: crypto.randomBytes(NONCE_BYTES) };
  const ownProof = proofOf(Role.Acceptor, claim, nonces, fleetKey);
  writeValue(socket, { nonce: nonces.acceptor, proof: ownProof });
  const response = await readValue(source, responseSchema, from);
  if (!isProof(response.proof, proofOf(Role.Dialler, claim, nonces, fleetKey))) {
    throw authenticationError("the dialler does not hold the fleet key", from);
  }
  writeValue(socket, { accepted: true });
  return claim;
}

function proofOf(role: Role, claim: ConnectionClaim, nonces: Nonces, fleetKey: string): Buffer {
  const { from, to, startedAtWallMs, connectionNumber } = claim;
  const fields = [PROTOCOL, role, from, to, startedAtWallMs, connectionNumber];
  return crypto
    .createHmac("sha256", fleetKey)
    .update(JSON.stringify(fields))
    .update(nonces.dialler)
    .update(nonces.acceptor)
    .digest();
}

function isProof(given: Uint8Array, expected: Uint8Array): boolean {
  return given.length === expected.length && crypto.timingSafeEqual(given, expected);
}

function writeValue(socket: net.Socket, value: unknown): void {
  socket.write(messageCodec.frameOf(messageCodec.encodeValue(value)));
}

async function readValue<T>(
  source: frameSource.FrameSource,
  schema: zod.ZodType<T>,
  peer: string,
): Promise<T> {
  const body = await source.nextFrame();
  if (body === undefined) throw authenticationError("the other end closed the connection", peer);
  const value = messageCodec.decodeValue(body);
  if (value.isErr()) throw value.error;
  const parsed = schema.safeParse(value.value);
  if (!parsed.success) throw authenticationError("unexpected message in the handshake", peer);
  return parsed.data;
}

function authenticationError(message: string, peer: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.Unauthenticated,
    step: "peer.authenticate",
    peer,
    execution: stepError.ExecutionState.NotRun,
  });
}
