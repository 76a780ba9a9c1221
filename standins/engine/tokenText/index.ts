import * as crypto from "node:crypto";

import type * as backends from "../../../src/backends/types.js";

/**
 * Computes a mark that is equal for equal model, version, adapter, prompt and seed.
 * Every token contains the mark, so a text joined from two samplings can be detected.
 */
export function computeSamplingMark(request: backends.EngineRequest): string {
  const parts = [request.model, request.version, request.adapter, request.prompt, request.seed];
  return crypto.createHash("sha1").update(JSON.stringify(parts)).digest("hex").slice(0, 6);
}

/** Formats the token at an offset of the sampling with the given mark. */
export function formatToken(mark: string, offset: number): string {
  return ` ${mark}.${offset}`;
}
