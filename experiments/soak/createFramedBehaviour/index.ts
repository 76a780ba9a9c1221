import * as backendServers from "../../../standins/platform/backendServer/index.js";
import type * as movableStreams from "../../../standins/platform/movableStreams/index.js";

/**
 * Creates the normal behaviour of a server. Every other one says where its answers end; those of the rest end with
 * their connections.
 *
 * @param streams - the streams of all engines; null for a plain server
 */
export function createFramedBehaviour(
  server: backendServers.BackendServer,
  streams: movableStreams.MovableStreams | null,
): backendServers.Behaviour {
  const number = Number(server.id.slice(server.id.lastIndexOf("-") + 1));
  const { Chunked, None } = backendServers.Framing;
  const framing = number % 2 === 0 ? Chunked : None;
  if (streams !== null) return streams.createBehaviour(server, framing);
  return (call, response, self) =>
    backendServers.answerFramed(`answer to ${call.id}`, framing)(call, response, self);
}
