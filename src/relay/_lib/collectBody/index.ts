import type * as http from "node:http";

/** Whether a body came whole. */
export enum BodyEnd {
  Whole = "whole",
  CutOff = "cut-off",
  TooLarge = "too-large",
}

/** A message's body as far as it came. */
export interface CollectedBody {
  readonly end: BodyEnd;
  readonly body: Buffer;
}

/** Reads a message to its end, or to the first byte past the limit. */
export function collectBody(
  message: http.IncomingMessage,
  maxBytes: number,
): Promise<CollectedBody> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    const finish = (end: BodyEnd): void => resolve({ end, body: Buffer.concat(chunks) });
    message.on("data", (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes > maxBytes) {
        message.pause();
        finish(BodyEnd.TooLarge);
        return;
      }
      chunks.push(chunk);
    });
    message.once("end", () => finish(BodyEnd.Whole));
    message.once("error", () => finish(BodyEnd.CutOff));
    message.once("close", () => finish(message.complete ? BodyEnd.Whole : BodyEnd.CutOff));
  });
}
