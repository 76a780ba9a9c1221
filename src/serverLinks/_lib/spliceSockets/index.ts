import type * as net from "node:net";

import * as byteBudgets from "../../../_lib/byteBudget/index.js";
import * as resetSockets from "../../../_lib/resetSocket/index.js";

const EMPTY_BUFFER = Buffer.alloc(0);

/**
 * Forwards bytes between a caller's connection and a server's until either ends. An orderly end of the
 * server is forwarded as such, a reset as a reset; when the caller leaves, both are closed.
 *
 * @param bytes - counts what either side has not yet read, and ends the connections if a process holds too much
 */
export function spliceSockets(
  caller: net.Socket,
  server: net.Socket,
  bytes: byteBudgets.ByteBudget,
): void {
  caller.pipe(server);
  server.pipe(caller, { end: false });
  const reservation = bytes.open({
    holder: byteBudgets.ByteHolder.Tunnels,
    onEvicted: () => {
      resetSockets.resetSocket(server);
      resetSockets.resetSocket(caller);
    },
  });
  const measure = (): void => reservation.resize(caller.writableLength + server.writableLength);
  for (const socket of [caller, server]) {
    // Called after the bytes were passed on to the other side.
    socket.on("data", measure);
    socket.on("drain", measure);
  }
  caller.once("close", () => reservation[Symbol.dispose]());
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
