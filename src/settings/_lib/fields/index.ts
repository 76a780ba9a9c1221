import * as net from "node:net";

import * as zod from "zod";

const MAX_PORT = 65_535;

/** Longest delay that a Node.js timer supports, in milliseconds: 2^31 - 1. */
const MAX_DURATION_MS = 2_147_483_647;

/** A name of a VM, data centre, region or operator. */
export const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, "a name of letters, digits, '.', '_' and '-'");

/** An IP address; host names are not accepted, because VMs do not resolve them. */
export const ipAddress = zod.string().refine((text) => net.isIP(text) !== 0, "an IP address");

/** A port number other than 0. */
export const port = zod.int("a port number").min(1).max(MAX_PORT);

/** A port to listen on; 0 lets the operating system select a free one. */
export const listenPort = zod.int("a port number").min(0).max(MAX_PORT);

/** A path of a file; existence is not checked. */
export const path = zod.string().min(1);

/** A SHA-256 hash in lower-case hexadecimal digits. */
export const sha256 = zod
  .string()
  .regex(/^[0-9a-f]{64}$/, "a SHA-256 hash of 64 lower-case hexadecimal digits");

/** An absolute URL with the protocol http or https. */
export const httpUrl = zod.url({ protocol: /^https?$/, error: "an http or https URL" });

/** A duration in milliseconds, at least 1. */
export const durationMs = zod.int().min(1).max(MAX_DURATION_MS);

/** A delay in milliseconds, which may be 0. */
export const delayMs = zod.int().min(0).max(MAX_DURATION_MS);

/** A count or a size, at least 1. */
export const count = zod.int().min(1);
