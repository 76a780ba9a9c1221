import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import type * as fleet from "../../../src/fleet/types.js";

type Listener = (bytes: Uint8Array, address: string, port: number) => void;

/** Delivers datagrams between in-process sockets, with loss, latency, partitions and paused receivers. */
export class DatagramHub {
  lossRatio = 0;
  latencyMs = 1;
  /** Upper bound of the random time added to the latency; a positive one can reorder datagrams. */
  jitterMs = 0;
  /** Number of datagrams sent, including lost ones. */
  sentCount = 0;
  sentBytes = 0;
  private readonly sockets = new Map<string, HubSocket>();
  private isPartitioned: (from: string, to: string) => boolean = () => false;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly random: randoms.RandomSource,
  ) {}

  /** Opens a socket at an address; it replaces an earlier one at that address. */
  open(address: string, port: number): HubSocket {
    const socket = new HubSocket(this, address, port);
    this.sockets.set(endpointKey(address, port), socket);
    return socket;
  }

  /** Drops datagrams between endpoints, given as `address:port`, for which the predicate holds. */
  partitionWhere(isPartitioned: (from: string, to: string) => boolean): void {
    this.isPartitioned = isPartitioned;
  }

  /** Ends the partition. */
  heal(): void {
    this.isPartitioned = () => false;
  }

  /** Removes a socket, unless another has replaced it. */
  close(socket: HubSocket): void {
    const key = endpointKey(socket.address, socket.port);
    if (this.sockets.get(key) === socket) this.sockets.delete(key);
  }

  /** Sends one datagram; it can be lost or dropped by a partition. */
  deliver(from: HubSocket, bytes: Uint8Array, address: string, port: number): void {
    this.sentCount += 1;
    this.sentBytes += bytes.length;
    const fromKey = endpointKey(from.address, from.port);
    const toKey = endpointKey(address, port);
    if (this.isPartitioned(fromKey, toKey) || this.random.next() < this.lossRatio) return;
    const copy = Uint8Array.from(bytes);
    this.clock.schedule(this.latencyMs + this.random.next() * this.jitterMs, () => {
      this.sockets.get(toKey)?.receive(copy, from.address, from.port);
    });
  }
}

/** One socket of a DatagramHub. */
export class HubSocket implements fleet.DatagramSocket {
  /** While set, received datagrams are buffered, as during a process pause. */
  isPaused = false;
  private readonly listeners = new Set<Listener>();
  private pendingDatagrams: Parameters<Listener>[] = [];

  constructor(
    private readonly hub: DatagramHub,
    readonly address: string,
    readonly port: number,
  ) {}

  send(bytes: Uint8Array, address: string, port: number): void {
    this.hub.deliver(this, bytes, address, port);
  }

  onMessage(listener: Listener): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Passes a datagram to the listeners, or buffers it while paused. */
  receive(...message: Parameters<Listener>): void {
    if (this.isPaused) {
      this.pendingDatagrams.push(message);
      return;
    }
    for (const listener of this.listeners) listener(...message);
  }

  /** Ends the pause and delivers the buffered datagrams. */
  resume(): void {
    this.isPaused = false;
    const datagrams = this.pendingDatagrams;
    this.pendingDatagrams = [];
    for (const message of datagrams) this.receive(...message);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.hub.close(this);
    return Promise.resolve();
  }
}

function endpointKey(address: string, port: number): string {
  return `${address}:${port}`;
}
