import type * as http from "node:http";

/** Whether a body was received completely. */
export enum BodyEnd {
  Complete = "whole",
  Truncated = "cut-off",
  TooLarge = "too-large",
}

/** A message's body, as far as it was received. */
export interface CollectedBody {
  readonly end: BodyEnd;
  readonly body: Buffer;
}

/** Reads a message to its end, or until it exceeds `maxBytes`; never rejects. */
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
    message.once("end", () => finish(BodyEnd.Complete));
    message.once("error", () => finish(BodyEnd.Truncated));
    message.once("close", () => finish(message.complete ? BodyEnd.Complete : BodyEnd.Truncated));
  });
}
