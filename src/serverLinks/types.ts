import type * as net from "node:net";

/** A host and port at which a server or VM listens. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Starts to open a TCP connection; a port of this process to the network. */
export type Dial = (address: Address) => net.Socket;
