import * as crypto from "node:crypto";

import type * as backends from "../../../src/backends/types.js";

/**
 * Identifies one sampling: equal for equal model, version, adapter, prompt and seed.
 * Every token carries it, so that a splice of two samplings shows in the text.
 */
export function samplingMark(request: backends.EngineRequest): string {
  const parts = [request.model, request.version, request.adapter, request.prompt, request.seed];
  return crypto.createHash("sha1").update(JSON.stringify(parts)).digest("hex").slice(0, 6);
}

/** Text of the token at an offset of a sampling. */
export function tokenText(mark: string, offset: number): string {
  return ` ${mark}.${offset}`;
}
