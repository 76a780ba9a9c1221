import * as dgram from "node:dgram";
import * as events from "node:events";

import type * as types from "../types.js";

const RECEIVE_BUFFER_BYTES = 262_144;

/** A datagram socket over UDP. */
export class UdpSocket implements types.DatagramSocket {
  private constructor(private readonly socket: dgram.Socket) {
    // A failed send counts as a lost datagram, which callers detect by the missing answer.
    socket.on("error", () => undefined);
  }

  /** The local port. */
  get port(): number {
    return this.socket.address().port;
  }

  /**
   * Binds a socket.
   *
   * @param port - 0 lets the system choose a free port
   * @throws the system's error if the address cannot be bound
   */
  static async open(address: string, port: number): Promise<UdpSocket> {
    const socket = dgram.createSocket({ type: "udp4", recvBufferSize: RECEIVE_BUFFER_BYTES });
    socket.bind({ address, port });
    try {
      await events.EventEmitter.once(socket, "listening");
    } catch (error) {
      socket.close();
      throw error;
    }
    return new UdpSocket(socket);
  }

  send(bytes: Uint8Array, address: string, port: number): void {
    try {
      this.socket.send(bytes, port, address, () => undefined);
    } catch {
      // Thrown for a port out of range, and after the socket was closed; counts as a lost datagram, too.
    }
  }

  onMessage(listener: (bytes: Uint8Array, address: string, port: number) => void): Disposable {
    const onDatagram = (bytes: Buffer, sender: dgram.RemoteInfo): void => {
      listener(bytes, sender.address, sender.port);
    };
    this.socket.on("message", onDatagram);
    return {
      [Symbol.dispose]: () => {
        this.socket.off("message", onDatagram);
      },
    };
  }

  [Symbol.asyncDispose](): Promise<void> {
    return new Promise((resolve) => this.socket.close(() => resolve()));
  }
}
