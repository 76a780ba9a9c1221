import type * as net from "node:net";

import * as resetSockets from "../../../_lib/resetSocket/index.js";

const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Forwards bytes between a caller's connection and a server's until either ends. An orderly end of the
 * server is forwarded as such, a reset as a reset; when the caller leaves, both are closed.
 */
export function spliceSockets(caller: net.Socket, server: net.Socket): void {
  caller.pipe(server);
  server.pipe(caller, { end: false });
  caller.once("error", () => resetSockets.resetSocket(server));
  server.once("error", () => resetSockets.resetSocket(caller));
  caller.once("end", () => caller.destroy());
  caller.once("close", () => server.destroy());
  server.once("end", () => {
    // Node reports a reset that arrives together with the last bytes as an end; a write then fails.
    server.write(EMPTY_BUFFER, (error) => {
      if (error instanceof Error) resetSockets.resetSocket(caller);
      else caller.end();
    });
  });
  server.once("close", () => caller.destroySoon());
}
