import type * as http from "node:http";

/** Returns the size of a request's target and header lines, in bytes. */
export function measureHeadBytes(request: http.IncomingMessage): number {
  const separatorsBytes = 2 * request.rawHeaders.length;
  const namesAndValuesBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return (request.url?.length ?? 0) + namesAndValuesBytes + separatorsBytes;
}
