import * as http from "node:http";
import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as connections from "../openConnection/index.js";
import * as tunnelRequests from "../tunnelRequest/index.js";

const OK_STATUS = 200;

/** Statuses with which a peer says that the server, not the peer, is why there is no tunnel. */
const SERVER_STATUSES: ReadonlySet<number> = new Set([404, 409, 504]);

/** Why a peer has opened no tunnel. */
export interface TunnelFailure {
  readonly cause: string;
  /** Whether the server, and not the peer, is the reason. */
  readonly isServerFault: boolean;
}

/**
 * Asks a peer for a tunnel to a server, which carries the bytes of one connection. If it cannot be opened,
 * nothing was sent to the server.
 *
 * @returns the tunnel, or why there is none
 */
export async function openTunnel(
  vmName: string,
  peer: types.TunnelPeer,
  request: types.TunnelRequest,
  { dial, signal }: { readonly dial: types.Dial; readonly signal: AbortSignal },
): Promise<neverthrow.Result<net.Socket, TunnelFailure>> {
  const timeout = AbortSignal.timeout(constants.TUNNEL_TIMEOUT_MS);
  const bounded = AbortSignal.any([signal, timeout]);
  const options = { timeoutMs: constants.CONNECT_TIMEOUT_MS, signal: bounded };
  const opened = await connections.openConnection(dial, peer, options);
  const describe = (cause: string): string => `${peer.vmName}: ${cause}`;
  if (opened.isErr())
    return neverthrow.err({ cause: describe(opened.error), isServerFault: false });
  return new Promise((resolve) => {
    const fail = (cause: string, isServerFault = false): void => {
      opened.value.destroy();
      resolve(neverthrow.err({ cause: describe(cause), isServerFault }));
    };
    const onAbort = (): void => fail("aborted while the tunnel was opened");
    const outgoing = http.request({
      createConnection: () => opened.value,
      method: "CONNECT",
      path: tunnelRequests.encodeTarget(request.server),
      headers: tunnelRequests.encodeHeaders(vmName, request),
    });
    bounded.addEventListener("abort", onAbort, { once: true });
    outgoing.once("connect", (answer, socket: net.Socket, head) => {
      bounded.removeEventListener("abort", onAbort);
      if (answer.statusCode !== OK_STATUS) {
        const { statusCode = 0 } = answer;
        fail(`status ${statusCode}`, SERVER_STATUSES.has(statusCode));
        return;
      }
      if (head.length > 0) socket.unshift(head);
      resolve(neverthrow.ok(socket));
    });
    outgoing.on("error", ({ message }) => fail(message));
    outgoing.end();
  });
}
