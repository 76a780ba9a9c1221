import type * as http from "node:http";

import Wreck from "@hapi/wreck";

import * as stepError from "../../_lib/stepError/index.js";
import type * as types from "../types.js";
import * as eventDecoders from "./eventDecoder.js";

/** Largest and longest refusal that is read. */
const MAX_REFUSAL_BYTES = 65_536;
const REFUSAL_TIMEOUT_MS = 2_000;

/** Where a stream of frames comes from. */
export interface FrameSource {
  readonly step: string;
  readonly peer: string;
  readonly fromOffset: number;
  readonly signal: AbortSignal;
}

/**
 * Frames of an open event stream. The socket is read only as fast as the frames are taken, and is
 * closed when the iteration ends. Throws a StepError where the stream breaks before its end.
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
    const message = cause instanceof Error ? cause.message : "the stream broke";
    throw brokenStream(message, source, hasFrames, cause);
  } finally {
    response.destroy();
  }
  throw brokenStream("the stream ended before the answer did", source, hasFrames);
}

/** The body of a refusal; what cannot be read is left out. */
export async function readRefusal(response: http.IncomingMessage): Promise<Buffer> {
  try {
    const options = { maxBytes: MAX_REFUSAL_BYTES, timeout: REFUSAL_TIMEOUT_MS };
    return await Wreck.read(response, options);
  } catch {
    return Buffer.alloc(0);
  }
}

function brokenStream(
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
