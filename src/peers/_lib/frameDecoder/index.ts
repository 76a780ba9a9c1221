import * as neverthrow from "neverthrow";

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/**
 * Cuts a stream of bytes into frames: a length of four bytes, high byte first, then the body.
 * Memory grows only with the bytes received, never with an announced length.
 */
export class FrameDecoder {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = constants.LENGTH_PREFIX_BYTES;

  /**
   * @param maxFrameBytes - a longer frame is an error; may be raised after authentication
   */
  constructor(public maxFrameBytes: number) {}

  /**
   * Takes bytes as they came.
   *
   * @returns the bodies of the frames that are complete, or an error for one that is too long
   */
  push(chunk: Buffer): neverthrow.Result<readonly Buffer[], stepError.StepError> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    if (this.bufferedBytes < this.neededBytes) return neverthrow.ok([]);
    return this.cutFrames(this.joinChunks());
  }

  private cutFrames(buffer: Buffer): neverthrow.Result<readonly Buffer[], stepError.StepError> {
    const frames: Buffer[] = [];
    let position = 0;
    this.neededBytes = constants.LENGTH_PREFIX_BYTES;
    while (buffer.length - position >= constants.LENGTH_PREFIX_BYTES) {
      const bodyBytes = buffer.readUInt32BE(position);
      if (bodyBytes > this.maxFrameBytes) return neverthrow.err(this.tooLarge(bodyBytes));
      const endPosition = position + constants.LENGTH_PREFIX_BYTES + bodyBytes;
      if (endPosition > buffer.length) {
        this.neededBytes = endPosition - position;
        break;
      }
      frames.push(buffer.subarray(position + constants.LENGTH_PREFIX_BYTES, endPosition));
      position = endPosition;
    }
    this.keepRest(buffer.subarray(position));
    return neverthrow.ok(frames);
  }

  private joinChunks(): Buffer {
    const [first] = this.chunks;
    if (this.chunks.length === 1 && first !== undefined) return first;
    return Buffer.concat(this.chunks, this.bufferedBytes);
  }

  private keepRest(rest: Buffer): void {
    this.bufferedBytes = rest.length;
    this.chunks = rest.length === 0 ? [] : [rest];
  }

  private tooLarge(bodyBytes: number): stepError.StepError {
    return new stepError.StepError(
      `frame of ${bodyBytes} bytes is over the limit of ${this.maxFrameBytes}`,
      {
        code: stepError.ErrorCode.TooLarge,
        step: "peer.decode",
        execution: stepError.ExecutionState.NotRun,
      },
    );
  }
}
