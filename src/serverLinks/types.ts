import type * as net from "node:net";

import type * as servers from "../servers/index.js";

/** A host and port at which a server or VM listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Starts to open a TCP connection; a port of this process to the network. */
export type Dial = (address: Address) => net.Socket;

/** A VM that can open tunnels to servers. */
export interface TunnelPeer extends Address {
  readonly vmName: string;
  readonly dataCentre: string;
  /** Whether it reaches servers over its own links, as it last reported. */
  readonly reachesServers: boolean;
}

/** The server to which a tunnel leads, and what it is for. */
export interface TunnelRequest {
  readonly server: Pick<servers.ServerEntry, "id" | "bornAtWallMs" | "host" | "port">;
  readonly requestId: string;
}
