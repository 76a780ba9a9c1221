import * as events from "node:events";
import type * as net from "node:net";
import * as timers from "node:timers/promises";

import type * as frameQueue from "../frameQueue/index.js";

/**
 * Writes a queue's frames to a socket until the signal is aborted. Frames queued in the same turn
 * of the event loop are joined into one write.
 *
 * @param onWritten - called after each write with its number of bytes
 * @throws the socket's error
 */
export async function writeFrames(
  socket: net.Socket,
  queue: frameQueue.FrameQueue,
  signal: AbortSignal,
  onWritten: (bytes: number) => void,
): Promise<void> {
  const wake = (): void => queue.wake();
  signal.addEventListener("abort", wake, { once: true });
  try {
    while (!signal.aborted) {
      await queue.waitForFrame();
      await timers.setImmediate();
      if (queue.isEmpty || isAborted(signal)) continue;
      const batch = queue.takeBatch();
      const isBelowHighWaterMark = socket.write(batch);
      onWritten(batch.length);
      if (!isBelowHighWaterMark) await events.EventEmitter.once(socket, "drain", { signal });
    }
  } finally {
    signal.removeEventListener("abort", wake);
  }
}

function isAborted(signal: AbortSignal): boolean {
  return signal.aborted;
}
