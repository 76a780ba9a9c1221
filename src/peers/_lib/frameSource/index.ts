import type * as net from "node:net";

import * as frameDecoder from "../frameDecoder/index.js";

/** Reads whole frames from a socket, in order, with the socket's own backpressure. */
export class FrameSource {
  private readonly decoder: frameDecoder.FrameDecoder;
  private readonly chunks: AsyncIterator<Buffer>;
  private readAhead: Buffer[] = [];

  constructor(socket: net.Socket, maxFrameBytes: number) {
    this.decoder = new frameDecoder.FrameDecoder(maxFrameBytes);
    this.chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  }

  /** Allows longer frames from now on. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.decoder.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Waits for one frame.
   *
   * @returns its body, or undefined at the end of the stream
   * @throws a StepError for a frame that is too long, or the socket's error
   */
  async nextFrame(): Promise<Buffer | undefined> {
    while (this.readAhead.length === 0) {
      const frames = await this.readChunk();
      if (frames === undefined) return undefined;
      this.readAhead.push(...frames);
    }
    return this.readAhead.shift();
  }

  /**
   * Waits for bytes and returns all frames that they complete, perhaps none.
   *
   * @returns bodies, or undefined at the end of the stream
   * @throws a StepError for a frame that is too long, or the socket's error
   */
  async nextFrames(): Promise<readonly Buffer[] | undefined> {
    if (this.readAhead.length === 0) return this.readChunk();
    const frames = this.readAhead;
    this.readAhead = [];
    return frames;
  }

  private async readChunk(): Promise<readonly Buffer[] | undefined> {
    const chunk = await this.chunks.next();
    if (chunk.done === true) return undefined;
    const frames = this.decoder.push(chunk.value);
    if (frames.isErr()) throw frames.error;
    return frames.value;
  }
}
