import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as servers from "../../../servers/index.js";
import type * as types from "../../types.js";

/** What a place at a server is borrowed for, and for how long. */
export interface LoanOptions {
  readonly requestId: string;
  readonly signal: AbortSignal;
  readonly loan: types.PlaceLoan;
}

/** Who may lend a place, and how they are asked. */
export interface LoanContext {
  readonly listPeers: () => readonly types.TunnelPeer[];
  readonly requestTunnel: types.RequestTunnel;
}

/** A connection through the peer that lends a place until it is closed. */
export interface LoanedConnection {
  readonly socket: net.Socket;
  readonly peer: types.TunnelPeer;
  /** Bytes that come through a peer say nothing of this VM's own links. */
  readonly recordBytes: () => void;
}

/** Opens a connection to a server through a peer that lends a place there; the error is its cause as a text. */
export async function connectOnLoan(
  { listPeers, requestTunnel }: LoanContext,
  peerName: string,
  server: servers.ServerEntry,
  { requestId, signal, loan }: LoanOptions,
): Promise<neverthrow.Result<LoanedConnection, string>> {
  const peer = listPeers().find(({ vmName }) => vmName === peerName);
  if (peer === undefined) return neverthrow.err(`${peerName} is silent`);
  const opened = await requestTunnel(peer, { server, requestId, loan }, signal);
  return opened
    .map((socket) => ({ socket, peer, recordBytes: () => undefined }))
    .mapErr(({ cause }) => `${peerName}: ${cause}`);
}
