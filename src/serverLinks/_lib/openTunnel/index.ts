import * as http from "node:http";
import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as clocks from "../../../_lib/clock/index.js";
import * as limitSignals from "../../../_lib/limitSignal/index.js";
import * as constants from "../../constants.js";
import * as types from "../../types.js";
import * as connections from "../openConnection/index.js";
import * as tunnelDenials from "../tunnelDenial/index.js";
import * as tunnelRequests from "../tunnelRequest/index.js";

const { TunnelRefusal } = types;

const OK_STATUS = 200;

/** Dependencies and bounds of opening a tunnel. */
export interface TunnelOptions {
  readonly clock: clocks.Clock;
  /** Opens connections to peers. */
  readonly dial: types.Dial;
  readonly signal: AbortSignal;
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
  { clock, dial, signal }: TunnelOptions,
): Promise<neverthrow.Result<net.Socket, types.TunnelFailure>> {
  using limited = limitSignals.limitSignal(clock, signal, constants.TUNNEL_TIMEOUT_MS);
  const options = { clock, timeoutMs: constants.CONNECT_TIMEOUT_MS, signal: limited.signal };
  const opened = await connections.openConnection(dial, peer, options);
  if (opened.isErr()) return neverthrow.err(describeUnavailable(opened.error));
  return await requestTunnel(vmName, request, opened.value, limited.signal);
}

/** Asks for a tunnel on a connection to a peer. */
function requestTunnel(
  vmName: string,
  request: types.TunnelRequest,
  connection: net.Socket,
  signal: AbortSignal,
): Promise<neverthrow.Result<net.Socket, types.TunnelFailure>> {
  return new Promise((resolve) => {
    const fail = (failure: types.TunnelFailure): void => {
      connection.destroy();
      resolve(neverthrow.err(failure));
    };
    const onAbort = (): void => fail(describeUnavailable("aborted while the tunnel was opened"));
    const outgoing = http.request({
      createConnection: () => connection,
      method: "CONNECT",
      path: tunnelRequests.encodeTarget(request.server),
      headers: tunnelRequests.encodeHeaders(vmName, request),
    });
    signal.addEventListener("abort", onAbort, { once: true });
    outgoing.once("connect", (answer, socket: net.Socket, head) => {
      signal.removeEventListener("abort", onAbort);
      if (answer.statusCode !== OK_STATUS) {
        const { statusCode = 0 } = answer;
        fail({
          refusal: tunnelDenials.refusalOfStatus(statusCode),
          cause: `status ${statusCode}`,
          hasAnswered: true,
          referredVm: tunnelRequests.decodeReferral(answer),
          doesServerRefuse: tunnelRequests.decodeServerRefuses(answer),
        });
        return;
      }
      if (request.loan && !tunnelRequests.isLoan(answer)) {
        fail(describeUnavailable("a tunnel without the place that it was asked for"));
        return;
      }
      if (head.length > 0) socket.unshift(head);
      resolve(neverthrow.ok(socket));
    });
    outgoing.on("error", ({ message }) => fail(describeUnavailable(message)));
    outgoing.end();
  });
}

function describeUnavailable(cause: string): types.TunnelFailure {
  const { PeerUnavailable } = TunnelRefusal;
  return {
    refusal: PeerUnavailable,
    cause,
    hasAnswered: false,
    referredVm: null,
    doesServerRefuse: false,
  };
}
