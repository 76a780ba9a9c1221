import type * as types from "../types.js";

/** Formats a server's address as host:port. */
export function addressOf(server: Pick<types.ServerEntry, "host" | "port">): string {
  return `${server.host}:${server.port}`;
}
