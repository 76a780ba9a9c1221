import * as fs from "node:fs";

/** Delay before writing again to a full non-blocking pipe. */
const RETRY_MS = 50;

/** Calls back when the bytes are written, or could not be. */
export type WriteBytes = (bytes: Buffer, done: (error: Error | null) => void) => void;

/**
 * Writes asynchronously, so that a stalled reader of the log blocks nothing else: neither the event loop nor a
 * thread, as an exit of the process waits for its threads.
 */
export const writeToStdout = createWrite("stdout", 1);

/** Writes to the standard error as `writeToStdout` does to the standard output. */
export const writeToStderr = createWrite("stderr", 2);

function createWrite(name: "stdout" | "stderr", standardFd: number): WriteBytes {
  let openedFd: number | null = null;
  const write: WriteBytes = (bytes, done) => {
    openedFd ??= openStream(name, standardFd);
    fs.write(openedFd, bytes, 0, bytes.length, null, (error, writtenBytes) => {
      if (error?.code === "EAGAIN") setTimeout(() => write(bytes, done), RETRY_MS);
      else if (error === null && writtenBytes < bytes.length) {
        write(bytes.subarray(writtenBytes), done);
      } else done(error);
    });
  };
  return write;
}

/** Makes writes to a full pipe or socket fail at once, which Node does when it creates its own stream. */
function openStream(name: "stdout" | "stderr", standardFd: number): number {
  try {
    return process[name].fd;
  } catch {
    // Something that cannot be streamed to; a write to it may block.
    return standardFd;
  }
}
