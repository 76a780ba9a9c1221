import type * as http from "node:http";
import type * as net from "node:net";

/**
 * Makes an answer emit "close" when its connection closes, also while it is queued behind the answers to
 * earlier requests of the connection: by itself Node does so only for the answer that is being sent.
 */
export function closeQueuedAnswer(socket: net.Socket, response: http.ServerResponse): void {
  const onClosed = (): void => {
    if (!response.closed) response.emit("close");
  };
  // A connection has one for each of its requests without an answer; Node otherwise warns of a leak.
  socket.setMaxListeners(0);
  socket.once("close", onClosed);
  response.once("close", () => socket.off("close", onClosed));
}
