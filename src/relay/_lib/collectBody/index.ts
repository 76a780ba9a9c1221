import type * as http from "node:http";

import * as chunkLists from "../chunkList/index.js";

/** Whether a body was received completely. */
export enum BodyEnd {
  Complete = "whole",
  Truncated = "cut-off",
  TooLarge = "too-large",
  /** It was evicted because the byte budget was exceeded. */
  Evicted = "evicted",
  /** It did not arrive in time. */
  Late = "late",
}

/** A message's body, as far as it was received; without chunks if it was given up. */
export interface CollectedBody {
  readonly end: BodyEnd;
  readonly chunks: readonly Buffer[];
  /** All chunks in one. */
  readonly body: Buffer;
}

/** How a body is read. */
export interface ReadingOptions {
  readonly maxBytes: number;
  /** Size that the message's head states; a size beyond `maxBytes` ends the reading at once. */
  readonly announcedBytes?: number;
  /** Whether a large body of known size is copied into one block as it arrives. */
  readonly isGathered?: boolean;
  /** Called with the size of each chunk after it was kept. */
  readonly onBytes?: (chunkBytes: number) => void;
}

/** Part of a body that has to arrive before memory for all of it is taken. */
export const MIN_GATHERED_BYTES = 64 * 1024;

/** The reading of one message to its end, or until it exceeds its bound. */
export class BodyReading {
  /** Resolves when the reading has ended; never rejects. */
  readonly collected: Promise<CollectedBody>;
  private readonly chunks = new chunkLists.ChunkList();
  private hasEnded = false;
  private hasGathered = false;
  private settle: (collected: CollectedBody) => void = () => undefined;

  constructor(
    private readonly message: http.IncomingMessage,
    private readonly options: ReadingOptions,
  ) {
    this.collected = new Promise((resolve) => {
      this.settle = resolve;
    });
    const { maxBytes, announcedBytes = 0 } = options;
    if (announcedBytes > maxBytes) {
      this.giveUp(BodyEnd.TooLarge);
      return;
    }
    message.on("data", this.onData);
    message.once("end", () => this.finish(BodyEnd.Complete));
    message.once("error", () => this.finish(BodyEnd.Truncated));
    message.once("close", () =>
      this.finish(message.complete ? BodyEnd.Complete : BodyEnd.Truncated),
    );
  }

  /** Gives up what was received, and reads no more. */
  evict(): void {
    this.giveUp(BodyEnd.Evicted);
  }

  /** Gives up what was received, as the rest is late, and reads no more. */
  stopLate(): void {
    this.giveUp(BodyEnd.Late);
  }

  private readonly onData = (chunk: Buffer): void => {
    if (this.chunks.sizeBytes + chunk.length > this.options.maxBytes) {
      this.giveUp(BodyEnd.TooLarge);
      return;
    }
    this.chunks.push(chunk);
    this.options.onBytes?.(chunk.length);
    const { announcedBytes = 0, isGathered = false } = this.options;
    const isDue = isGathered && !this.hasGathered && announcedBytes > MIN_GATHERED_BYTES;
    if (this.hasEnded || !isDue || this.chunks.sizeBytes <= MIN_GATHERED_BYTES) return;
    this.hasGathered = true;
    this.chunks.gather(announcedBytes);
  };

  private giveUp(end: BodyEnd): void {
    if (this.hasEnded) return;
    this.chunks.take();
    this.message.pause();
    this.finish(end);
  }

  private finish(end: BodyEnd): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.message.off("data", this.onData);
    const chunks = this.chunks.take();
    this.settle({
      end,
      chunks,
      get body() {
        return chunkLists.joinChunks(chunks);
      },
    });
  }
}

/** Reads a message to its end, or until it exceeds `maxBytes`; never rejects. */
export function collectBody(
  message: http.IncomingMessage,
  maxBytes: number,
): Promise<CollectedBody> {
  return new BodyReading(message, { maxBytes }).collected;
}

/** Returns the size of a body that a message's head states; 0 if it states none. */
export function readAnnouncedBytes({ headers }: http.IncomingMessage): number {
  const announcedBytes = Number(headers["content-length"] ?? 0);
  return Number.isFinite(announcedBytes) ? announcedBytes : 0;
}
