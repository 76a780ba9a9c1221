import * as stringDecoders from "node:string_decoder";

import * as eventsource from "eventsource-parser";

import * as constants from "../constants.js";
import * as types from "../types.js";

/** Ends an OpenAI-shaped stream. */
const DONE = "[DONE]";

/** The fields of a completion chunk that are read; anything may be missing or of another type. */
interface ChunkEvent {
  readonly choices?: readonly {
    readonly text?: unknown;
    readonly finish_reason?: unknown;
    readonly logprobs?: { readonly tokens?: unknown } | null;
  }[];
  readonly error?: unknown;
}

interface OpenFrame {
  readonly offset: number;
  readonly tokens: string[];
  finishReason: types.FinishReason | null;
}

const FINISH_REASONS: ReadonlyMap<unknown, types.FinishReason> = new Map(
  Object.values(types.FinishReason).map((reason) => [reason, reason]),
);

/**
 * Decodes an engine's event stream. The events of one chunk of bytes become one frame, so that a
 * fast stream costs one frame per read and not one per token. Throws an Error on malformed events.
 */
export class EventDecoder {
  private readonly text = new stringDecoders.StringDecoder("utf8");
  private readonly parser: eventsource.EventSourceParser;
  private frames: OpenFrame[] = [];
  private nextOffset: number;

  /** @param fromOffset - offset of the first token, where the engine gives no ids */
  constructor(fromOffset: number) {
    this.nextOffset = fromOffset;
    this.parser = eventsource.createParser({
      maxBufferSize: constants.MAX_EVENT_CHARACTERS,
      onEvent: (event) => this.take(event),
      onError: (error) => {
        if (error.type === "max-buffer-size-exceeded") throw error;
      },
    });
  }

  /** Takes bytes and returns the frames they complete. */
  push(chunk: Buffer): readonly types.EngineFrame[] {
    this.frames = [];
    this.parser.feed(this.text.write(chunk));
    return this.frames;
  }

  private take(event: eventsource.EventSourceMessage): void {
    if (event.data === DONE) return;
    const chunk = JSON.parse(event.data) as ChunkEvent | null;
    const choice = chunk?.choices?.[0];
    if (choice === undefined) throw new Error(describeFailure(chunk));
    const tokens = tokensOf(choice.text, choice.logprobs?.tokens);
    const frame = this.frameAt(offsetOf(event.id) ?? this.nextOffset);
    for (const token of tokens) frame.tokens.push(token);
    frame.finishReason = FINISH_REASONS.get(choice.finish_reason) ?? null;
    this.nextOffset = frame.offset + frame.tokens.length;
  }

  /** The frame that the offset continues, or a new one. */
  private frameAt(offset: number): OpenFrame {
    const last = this.frames.at(-1);
    if (last?.finishReason === null && last.offset + last.tokens.length === offset) return last;
    const frame: OpenFrame = { offset, tokens: [], finishReason: null };
    this.frames.push(frame);
    return frame;
  }
}

function tokensOf(text: unknown, tokens: unknown): readonly string[] {
  if (Array.isArray(tokens) && tokens.every((token) => typeof token === "string")) return tokens;
  if (typeof text !== "string") throw new Error("an event without text");
  return text === "" ? [] : [text];
}

/** The offset in an event id of the form `request:offset`. */
function offsetOf(id: string | undefined): number | undefined {
  if (id === undefined) return undefined;
  const offset = Number(id.slice(id.lastIndexOf(":") + 1));
  if (!Number.isSafeInteger(offset) || offset < 0) throw new Error(`a malformed event id ${id}`);
  return offset;
}

function describeFailure(chunk: ChunkEvent | null): string {
  return chunk?.error === undefined
    ? "an event without choices"
    : `the engine failed: ${JSON.stringify(chunk.error)}`;
}
