import type * as net from "node:net";

/**
 * Closes a connection with a reset, or without one if its writable side has ended: Node leaks the handle
 * of a socket that is reset during its shutdown.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
