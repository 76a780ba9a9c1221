import type * as net from "node:net";

import type * as neverthrow from "neverthrow";

import type * as servers from "../servers/index.js";

/** A host and port at which a server or VM listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Starts to open a TCP connection; a port of this process to the network. */
export type Dial = (address: Address) => net.Socket;

/** What a VM has seen of its own links to the backend servers lately. */
export enum LinkState {
  /** A server has accepted a connection. */
  Reaches = "reaches",
  /** No connection was tried, so that nothing is known. */
  Unknown = "unknown",
  /** Connections to several servers failed, and none has succeeded since. */
  Failing = "failing",
}

/** A VM that can open tunnels to servers. */
export interface TunnelPeer extends Address {
  readonly vmName: string;
  readonly dataCentre: string;
  /** What it has last reported of its links. */
  readonly linkState: LinkState;
}

/** The server to which a tunnel leads, and what it is for. */
export interface TunnelRequest {
  readonly server: Pick<servers.ServerEntry, "id" | "bornAtWallMs" | "host" | "port">;
  readonly requestId: string;
  /** The place at the server that the peer is asked to lend; null or absent if the VM that asks needs none. */
  readonly loan?: PlaceLoan | null;
}

/** A place at a server that a peer is asked to lend. */
export interface PlaceLoan {
  /** How long the peer may wait for a free place, in milliseconds. */
  readonly waitMs: number;
  /** How long the place is needed at most, in milliseconds; then the tunnel is reset. */
  readonly forMs: number;
}

/** What the refusal of a tunnel shows about the peer that was asked. */
export enum TunnelRefusal {
  /** The peer reaches no server itself. */
  PeerCutOff = "peer-cut-off",
  /** The peer does not reach this server, which may have ended. */
  ServerUnreachable = "server-unreachable",
  /** The peer may not send to this server, whatever its links. */
  ServerUnavailable = "server-unavailable",
  /** The peer is full, stopping or not reachable. */
  PeerUnavailable = "peer-unavailable",
}

/** Why a peer has opened no tunnel. */
export interface TunnelFailure {
  readonly refusal: TunnelRefusal;
  readonly cause: string;
  /** Whether the peer has answered, so that its process was up. */
  readonly hasAnswered: boolean;
  /** Whether the server's address has refused the peer's connection, so that nothing listens there. */
  readonly doesServerRefuse: boolean;
  /** A VM through which the peer itself reaches servers; null if it named none. */
  readonly referredVm: string | null;
}

/** Asks a peer for a tunnel to a server. If it is refused, nothing was sent to the server. */
export type RequestTunnel = (
  peer: TunnelPeer,
  request: TunnelRequest,
  signal: AbortSignal,
) => Promise<neverthrow.Result<net.Socket, TunnelFailure>>;
