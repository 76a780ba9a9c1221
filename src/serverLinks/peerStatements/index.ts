import type * as hapi from "@hapi/hapi";
import Wreck from "@hapi/wreck";
import * as zod from "zod";

import * as constants from "../constants.js";
import type * as types from "../types.js";

const PATH = "/server-statements";

const NO_CONTENT_STATUS = 204;
const BAD_REQUEST_STATUS = 400;
const FORBIDDEN_STATUS = 403;

const MAX_STATEMENT_BYTES = 4_096;

const statement = zod.object({
  serverId: zod.string().min(1).max(200),
  bornAtWallMs: zod.number(),
  isLeaving: zod.boolean(),
  retryAfterMs: zod.number().nonnegative().nullable(),
  /** Whether the server rejected the request for lack of capacity; absent in messages of earlier releases. */
  isRejection: zod.boolean().default(false),
  /** Rejections a second above which it crashes; null if it states none. */
  maxRejectionsPerSecond: zod.number().nonnegative().nullable().default(null),
});

/** What a server said of itself, in an answer through a tunnel, that concerns the VM at the tunnel's end. */
export type PeerStatement = zod.infer<typeof statement>;

/** Tells the peer that has served a tunnel what the server's answer said. A lost message is not repeated. */
export async function sendStatement(
  { host, port }: types.TunnelPeer,
  message: zod.input<typeof statement>,
): Promise<void> {
  const payload = JSON.stringify(message);
  const headers = { "content-type": "application/json" };
  const options = { payload, headers, timeout: constants.TUNNEL_TIMEOUT_MS };
  try {
    const answer = await Wreck.request("POST", `http://${host}:${port}${PATH}`, options);
    // Its head says all; a body, which may have no end, is not read.
    answer.destroy();
  } catch {
    // The peer learns the same from the next answer of its own.
  }
}

/** Adds the route by which peers tell what servers said; others are refused. */
export function addStatementRoute(
  server: hapi.Server,
  listPeers: () => readonly types.TunnelPeer[],
  onStatement: (received: PeerStatement) => void,
): void {
  server.route({
    method: "POST",
    path: PATH,
    options: { payload: { maxBytes: MAX_STATEMENT_BYTES, allow: "application/json" } },
    handler: (request, toolkit) => {
      const isPeer = listPeers().some(({ host }) => host === request.info.remoteAddress);
      if (!isPeer) return toolkit.response().code(FORBIDDEN_STATUS);
      const parsed = statement.safeParse(request.payload);
      if (!parsed.success) return toolkit.response().code(BAD_REQUEST_STATUS);
      onStatement(parsed.data);
      return toolkit.response().code(NO_CONTENT_STATUS);
    },
  });
}
