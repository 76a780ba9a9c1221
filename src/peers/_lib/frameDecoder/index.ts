import * as neverthrow from "neverthrow";

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/**
 * Splits a byte stream into frames: a big-endian length of four bytes, then the body. Memory is
 * allocated only for received bytes, never for an announced length.
 */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = constants.LENGTH_PREFIX_BYTES;

  /**
   * @param maxFrameBytes - largest accepted body; may be raised after authentication
   */
  constructor(public maxFrameBytes: number) {}

  /**
   * Adds received bytes.
   *
   * @returns the bodies of the completed frames, or an error for a frame over the limit
   */
  push(chunk: Buffer): neverthrow.Result<readonly Buffer[], stepError.StepError> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return neverthrow.ok([]);
    return this.splitFrames(this.joinChunks());
  }

  private splitFrames(buffer: Buffer): neverthrow.Result<readonly Buffer[], stepError.StepError> {
    const frames: Buffer[] = [];
    let position = 0;
    this.neededBytes = constants.LENGTH_PREFIX_BYTES;
    while (buffer.length - position >= constants.LENGTH_PREFIX_BYTES) {
      const bodyBytes = buffer.readUInt32BE(position);
      if (bodyBytes > this.maxFrameBytes)
        return neverthrow.err(this.createTooLargeError(bodyBytes));
      const endPosition = position + constants.LENGTH_PREFIX_BYTES + bodyBytes;
      if (endPosition > buffer.length) {
        this.neededBytes = endPosition - position;
        break;
      }
      frames.push(buffer.subarray(position + constants.LENGTH_PREFIX_BYTES, endPosition));
      position = endPosition;
    }
    this.keepRemainder(buffer.subarray(position));
    return neverthrow.ok(frames);
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    return Buffer.concat(this.chunks, this.bufferedBytes);
  }

  private keepRemainder(remainder: Buffer): void {
    this.bufferedBytes = remainder.length;
    this.chunks = remainder.length === 0 ? [] : [remainder];
  }

  private createTooLargeError(bodyBytes: number): stepError.StepError {
    return new stepError.StepError(
      `frame of ${bodyBytes} bytes exceeds the limit of ${this.maxFrameBytes} bytes`,
      {
        code: stepError.ErrorCode.TooLarge,
        step: "peer.decode",
        execution: stepError.ExecutionState.NotRun,
      },
    );
  }
}
