import * as names from "../../../platform/names/index.js";
import type * as backendServers from "../../../standins/platform/backendServer/index.js";

/** The kinds of work that make servers crash. */
export enum CrashKind {
  /** Each engine that begins to write on a part of prompts. */
  PromptPart = "prompt-part",
  /** Each server that runs a request. */
  Request = "request",
}

/** Work that makes servers crash. */
export interface CrashCause {
  readonly kind: CrashKind;
  /** Id of the part, or last segment of the request's path. */
  readonly name: string;
}

const CAUSE_NAME = /\bcrash-\d+\b/;

/** Creates the cause with the given number. */
export function createCause(kind: CrashKind, number: number): CrashCause {
  return { kind, name: `crash-${number}` };
}

/** Returns the name of the cause in a call that makes its server crash; null for a sound call. */
export function findCauseName({ headers, target }: backendServers.ReceivedCall): string | null {
  const parts = headers[names.HEADERS.promptParts.toLowerCase()];
  return CAUSE_NAME.exec(`${target} ${String(parts ?? "")}`)?.[0] ?? null;
}
