import type * as backendServers from "../backendServer/index.js";

/** Runs the request, writes raw bytes in place of an answer, and ends the connection in order. */
export function answerRaw(
  createBytes: (call: backendServers.ReceivedCall, server: backendServers.BackendServer) => string,
): backendServers.Behaviour {
  return (call, response, server) => {
    server.runs.push(call.id);
    response.socket?.end(Buffer.from(createBytes(call, server), "latin1"));
  };
}
