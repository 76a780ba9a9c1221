import * as crypto from "node:crypto";
import type * as net from "node:net";

import * as zod from "zod";

import * as stepError from "../../../_lib/stepError/index.js";
import type * as frameSource from "../frameSource/index.js";
import * as messageCodec from "../messageCodec/index.js";

/** Identity of a connection: the dialling VM, the dialled VM and the connection's number. */
export interface ConnectionClaim {
  readonly from: string;
  readonly to: string;
  /** Wall clock at the start of the dialling process; identifies the process's incarnation. */
  readonly startedAtWallMs: number;
  /** Number of this attempt to connect among those of the dialling process to the VM. */
  readonly connectionNumber: number;
}

/** Sides of the handshake; each proves that it holds the fleet key. */
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
 * Runs the dialler's side of the handshake: proves to the other end that this VM holds the fleet
 * key, and checks that the other end holds it too and is the VM named in the claim.
 *
 * @param claim - identity of the connection
 * @param fleetKey - secret of the fleet
 * @throws a StepError if the handshake fails, or the socket's error
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
  if (!isSameProof(challenge.proof, computeProof(Role.Acceptor, claim, nonces, fleetKey))) {
    throw createAuthenticationError(
      `the proof of VM ${claim.to} does not match the fleet key`,
      claim.to,
    );
  }
  writeValue(socket, { proof: computeProof(Role.Dialler, claim, nonces, fleetKey) });
  await readValue(source, acceptedSchema, claim.to);
}

/**
 * Runs the acceptor's side of the handshake: checks that the dialler holds the fleet key and
 * intends to reach this VM.
 *
 * @param selfName - name of this VM
 * @param fleetKey - secret of the fleet
 * @returns the dialler's authenticated claim
 * @throws a StepError if the handshake fails, or the socket's error
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
  if (to !== selfName)
    throw createAuthenticationError(
      `the dialler expects VM ${to}, but this is VM ${selfName}`,
      from,
    );
  const nonces = { dialler: nonce, acceptor: crypto.randomBytes(NONCE_BYTES) };
  const ownProof = computeProof(Role.Acceptor, claim, nonces, fleetKey);
  writeValue(socket, { nonce: nonces.acceptor, proof: ownProof });
  const response = await readValue(source, responseSchema, from);
  if (!isSameProof(response.proof, computeProof(Role.Dialler, claim, nonces, fleetKey))) {
    throw createAuthenticationError(`the proof of VM ${from} does not match the fleet key`, from);
  }
  writeValue(socket, { accepted: true });
  return claim;
}

function computeProof(
  role: Role,
  claim: ConnectionClaim,
  nonces: Nonces,
  fleetKey: string,
): Buffer {
  const { from, to, startedAtWallMs, connectionNumber } = claim;
  const fields = [PROTOCOL, role, from, to, startedAtWallMs, connectionNumber];
  return crypto
    .createHmac("sha256", fleetKey)
    .update(JSON.stringify(fields))
    .update(nonces.dialler)
    .update(nonces.acceptor)
    .digest();
}

function isSameProof(received: Uint8Array, expected: Uint8Array): boolean {
  return received.length === expected.length && crypto.timingSafeEqual(received, expected);
}

function writeValue(socket: net.Socket, value: unknown): void {
  socket.write(messageCodec.encodeFrame(messageCodec.encodeValue(value)));
}

async function readValue<T>(
  source: frameSource.FrameSource,
  schema: zod.ZodType<T>,
  peer: string,
): Promise<T> {
  const body = await source.nextFrame();
  if (body === undefined)
    throw createAuthenticationError(
      "the other end closed the connection during the handshake",
      peer,
    );
  const value = messageCodec.decodeValue(body);
  if (value.isErr()) throw value.error;
  const parsed = schema.safeParse(value.value);
  if (!parsed.success)
    throw createAuthenticationError("the handshake message has an unexpected format", peer);
  return parsed.data;
}

function createAuthenticationError(message: string, peer: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.Unauthenticated,
    step: "peer.authenticate",
    peer,
    execution: stepError.ExecutionState.NotRun,
  });
}
