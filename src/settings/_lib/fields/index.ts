import * as net from "node:net";

import * as zod from "zod";

const MAX_PORT = 65_535;

/** Longest duration that a timer of Node can hold, in milliseconds. */
const MAX_DURATION_MS = 2_147_483_647;

/** Names of VMs, data centres, regions and operators. */
export const name = zod
  .string()
  .regex(/^[a-z0-9][a-z0-9._-]{0,62}$/i, "a name of letters, digits, '.', '_' and '-'");

/** An IP number; VMs never look up names. */
export const ipAddress = zod.string().refine((text) => net.isIP(text) !== 0, "an IP address");

export const port = zod.int("a port number").min(1).max(MAX_PORT);

/** A port to listen on; 0 lets the system choose a free one. */
export const listenPort = zod.int("a port number").min(0).max(MAX_PORT);

export const path = zod.string().min(1);

export const sha256 = zod
  .string()
  .regex(/^[0-9a-f]{64}$/, "a SHA-256 hash of 64 lower-case hexadecimal digits");

export const httpUrl = zod.url({ protocol: /^https?$/, error: "an http or https URL" });

/** A duration in milliseconds, at least one. */
export const durationMs = zod.int().min(1).max(MAX_DURATION_MS);

/** A duration in milliseconds that may be nothing. */
export const delayMs = zod.int().min(0).max(MAX_DURATION_MS);

export const count = zod.int().min(1);
