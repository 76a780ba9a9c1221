import type * as http from "node:http";

import Wreck from "@hapi/wreck";

import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";
import * as eventDecoders from "./eventDecoder.js";

/** Maximum size of the body of an engine's refusal. */
const MAX_REFUSAL_BYTES = 65_536;

/** Maximum time to read the body of an engine's refusal. */
const REFUSAL_TIMEOUT_MS = 2_000;

/** Engine, step and first offset of a stream of frames; the engine and step are used in errors. */
export interface FrameSource {
  readonly step: string;
  readonly peer: string;
  /** Offset of the first expected token. */
  readonly fromOffset: number;
  readonly signal: AbortSignal;
}

/**
 * Reads the frames of an open event stream. The socket is read only as fast as the frames are
 * consumed, and is closed when the iteration ends. Throws a StepError if the stream breaks before
 * a frame with a finish reason.
 */
export async function* readFrames(
  response: http.IncomingMessage,
  source: FrameSource,
): AsyncGenerator<types.EngineFrame> {
  const decoder = new eventDecoders.EventDecoder(source.fromOffset);
  let hasFrames = false;
  try {
    for await (const chunk of response) {
      for (const frame of decoder.push(chunk as Buffer)) {
        hasFrames = true;
        yield frame;
        if (frame.finishReason !== null) return;
      }
    }
  } catch (cause) {
    if (cause instanceof stepError.StepError) throw cause;
    const message = cause instanceof Error ? cause.message : "the event stream broke";
    throw createStreamError(message, source, hasFrames, cause);
  } finally {
    response.destroy();
  }
  throw createStreamError("the event stream ended without a finish reason", source, hasFrames);
}

/** Reads the body of a refusal; returns an empty buffer if it cannot be read. */
export async function readRefusalBody(response: http.IncomingMessage): Promise<Buffer> {
  try {
    const options = { maxBytes: MAX_REFUSAL_BYTES, timeout: REFUSAL_TIMEOUT_MS };
    return await Wreck.read(response, options);
  } catch {
    return Buffer.alloc(0);
  }
}

function createStreamError(
  message: string,
  source: FrameSource,
  hasFrames: boolean,
  cause?: unknown,
): stepError.StepError {
  const { Ran, Unknown } = stepError.ExecutionState;
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.BackendFailed,
    step: source.step,
    peer: source.peer,
    execution: hasFrames ? Ran : Unknown,
    cause,
  });
}
