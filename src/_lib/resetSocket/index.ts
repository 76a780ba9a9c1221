import type * as net from "node:net";

/**
 * Closes a connection with a reset. One whose end has been sent already is closed without: Node never
 * releases a socket that is reset while it shuts down.
 */
export function resetSocket(socket: net.Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}
