import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import type * as fleet from "../../../src/fleet/types.js";

type Listener = (bytes: Uint8Array, address: string, port: number) => void;

/** Carries datagrams between in-process sockets, with loss, delay, cuts and paused receivers. */
export class DatagramHub {
  lossRatio = 0;
  latencyMs = 1;
  /** Varies the latency, so that datagrams overtake each other. */
  jitterMs = 0;
  sentCount = 0;
  sentBytes = 0;
  private readonly sockets = new Map<string, HubSocket>();
  private isCut: (from: string, to: string) => boolean = () => false;

  constructor(
    private readonly clock: clocks.Clock,
    private readonly random: randoms.RandomSource,
  ) {}

  /** A socket at an address; it replaces an earlier one there. */
  open(address: string, port: number): HubSocket {
    const socket = new HubSocket(this, address, port);
    this.sockets.set(endpointKey(address, port), socket);
    return socket;
  }

  /** Drops datagrams between the endpoints for which this holds, given as `address:port`. */
  cutWhere(isCut: (from: string, to: string) => boolean): void {
    this.isCut = isCut;
  }

  heal(): void {
    this.isCut = () => false;
  }

  close(socket: HubSocket): void {
    const key = endpointKey(socket.address, socket.port);
    if (this.sockets.get(key) === socket) this.sockets.delete(key);
  }

  deliver(from: HubSocket, bytes: Uint8Array, address: string, port: number): void {
    this.sentCount += 1;
    this.sentBytes += bytes.length;
    const fromKey = endpointKey(from.address, from.port);
    const toKey = endpointKey(address, port);
    if (this.isCut(fromKey, toKey) || this.random.next() < this.lossRatio) return;
    const copy = Uint8Array.from(bytes);
    this.clock.schedule(this.latencyMs + this.random.next() * this.jitterMs, () => {
      this.sockets.get(toKey)?.receive(copy, from.address, from.port);
    });
  }
}

/** One socket of a DatagramHub. */
export class HubSocket implements fleet.DatagramSocket {
  /** While set, received datagrams wait, as they do in front of a process that stands still. */
  isPaused = false;
  private readonly listeners = new Set<Listener>();
  private held: Parameters<Listener>[] = [];

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

  receive(...message: Parameters<Listener>): void {
    if (this.isPaused) {
      this.held.push(message);
      return;
    }
    for (const listener of this.listeners) listener(...message);
  }

  resume(): void {
    this.isPaused = false;
    const held = this.held;
    this.held = [];
    for (const message of held) this.receive(...message);
  }

  [Symbol.asyncDispose](): Promise<void> {
    this.hub.close(this);
    return Promise.resolve();
  }
}

function endpointKey(address: string, port: number): string {
  return `${address}:${port}`;
}
