import type * as net from "node:net";

import * as frameDecoder from "../frameDecoder/index.js";

/** Reads whole frames from a socket, in order, and applies backpressure to the sender. */
export class FrameSource {
  private readonly decoder: frameDecoder.FrameDecoder;
  private readonly chunks: AsyncIterator<Buffer>;
  private bufferedFrames: Buffer[] = [];

  constructor(socket: net.Socket, maxFrameBytes: number) {
    this.decoder = new frameDecoder.FrameDecoder(maxFrameBytes);
    this.chunks = socket[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
  }

  /** Sets the largest accepted frame for data read from now on. */
  setMaxFrameBytes(maxFrameBytes: number): void {
    this.decoder.maxFrameBytes = maxFrameBytes;
  }

  /**
   * Waits for one frame.
   *
   * @returns its body, or undefined at the end of the stream
   * @throws a StepError for a frame over the limit, or the socket's error
   */
  async nextFrame(): Promise<Buffer | undefined> {
    while (this.bufferedFrames.length === 0) {
      const frames = await this.readChunk();
      if (frames === undefined) return undefined;
      this.bufferedFrames.push(...frames);
    }
    return this.bufferedFrames.shift();
  }

  /**
   * Returns the buffered frames, or else waits for the next chunk and returns the frames that it
   * completes, which may be none.
   *
   * @returns the bodies, or undefined at the end of the stream
   * @throws a StepError for a frame over the limit, or the socket's error
   */
  async nextFrames(): Promise<readonly Buffer[] | undefined> {
    if (this.bufferedFrames.length === 0) return this.readChunk();
    const frames = this.bufferedFrames;
    this.bufferedFrames = [];
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
