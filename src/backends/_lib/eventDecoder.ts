import * as stringDecoders from "node:string_decoder";

import * as eventsource from "eventsource-parser";

import * as constants from "../constants.js";
import * as types from "../types.js";

/** Data of the last event of an OpenAI-compatible stream. */
const STREAM_END_MARKER = "[DONE]";

/** The fields read from a completion chunk; not validated, any may be missing or malformed. */
interface ChunkEvent {
  readonly choices?: readonly {
    readonly text?: unknown;
    readonly finish_reason?: unknown;
    readonly logprobs?: { readonly tokens?: unknown } | null;
  }[];
  readonly error?: unknown;
}

/** A frame to which further tokens may be appended. */
interface PartialFrame {
  readonly offset: number;
  readonly tokens: string[];
  finishReason: types.FinishReason | null;
}

const FINISH_REASONS: ReadonlyMap<unknown, types.FinishReason> = new Map(
  Object.values(types.FinishReason).map((reason) => [reason, reason]),
);

/**
 * Decodes an engine's event stream. The events of one chunk of bytes with contiguous offsets become
 * one frame, so that a fast stream costs one frame per read instead of one per token.
 */
export class EventDecoder {
  private readonly utf8Decoder = new stringDecoders.StringDecoder("utf8");
  private readonly parser: eventsource.EventSourceParser;
  private frames: PartialFrame[] = [];
  private nextOffset: number;

  /** @param fromOffset - offset of the first token, used if the engine sends no event ids */
  constructor(fromOffset: number) {
    this.nextOffset = fromOffset;
    this.parser = eventsource.createParser({
      maxBufferSize: constants.MAX_EVENT_CHARACTERS,
      onEvent: (event) => this.decodeEvent(event),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") throw error;
      },
    });
  }

  /** Decodes bytes and returns the frames of the completed events; throws on a malformed event. */
  push(chunk: Buffer): readonly types.EngineFrame[] {
    this.frames = [];
    this.parser.feed(this.utf8Decoder.write(chunk));
    return this.frames;
  }

  private decodeEvent(event: eventsource.EventSourceMessage): void {
    if (event.data === STREAM_END_MARKER) return;
    const chunk = JSON.parse(event.data) as ChunkEvent | null;
    const choice = chunk?.choices?.[0];
    if (choice === undefined) throw new Error(describeFailure(chunk));
    const tokens = parseTokens(choice.text, choice.logprobs?.tokens);
    const frame = this.findOrAddFrame(parseOffset(event.id) ?? this.nextOffset);
    for (const token of tokens) frame.tokens.push(token);
    frame.finishReason = FINISH_REASONS.get(choice.finish_reason) ?? null;
    this.nextOffset = frame.offset + frame.tokens.length;
  }

  /** Returns the last frame if `offset` continues it, or else adds a new frame. */
  private findOrAddFrame(offset: number): PartialFrame {
    const last = this.frames.at(-1);
    if (last?.finishReason === null && last.offset + last.tokens.length === offset) return last;
    const frame: PartialFrame = { offset, tokens: [], finishReason: null };
    this.frames.push(frame);
    return frame;
  }
}

function parseTokens(text: unknown, tokens: unknown): readonly string[] {
  if (Array.isArray(tokens) && tokens.every((token) => typeof token === "string")) return tokens;
  if (typeof text !== "string") throw new Error("event without text");
  return text === "" ? [] : [text];
}

/** Parses the offset after the last colon of an event id; throws if it is not a valid offset. */
function parseOffset(id: string | undefined): number | undefined {
  if (id === undefined) return undefined;
  const offset = Number(id.slice(id.lastIndexOf(":") + 1));
  if (!Number.isSafeInteger(offset) || offset < 0) throw new Error(`malformed event id ${id}`);
  return offset;
}

function describeFailure(chunk: ChunkEvent | null): string {
  return chunk?.error === undefined
    ? "event without choices"
    : `engine reported an error: ${JSON.stringify(chunk.error)}`;
}
