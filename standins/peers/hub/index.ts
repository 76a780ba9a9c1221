import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as peers from "../../../src/peers/types.js";

/** Connects in-process peer networks; links between VMs can be partitioned and delayed. */
export class PeerHub {
  /** Latency of each message in one direction. */
  latencyMs = 0;
  private readonly networks = new Map<string, FakePeerNetwork>();
  private readonly partitionedLinks = new Set<string>();
  private readonly pausedVms = new Set<string>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Adds a VM and returns its peer network. */
  join(vmName: string): FakePeerNetwork {
    const network = new FakePeerNetwork(vmName, this, this.clock);
    this.networks.set(vmName, network);
    return network;
  }

  /** Removes a VM; the others are notified that its connections broke. */
  kill(vmName: string): void {
    this.networks.delete(vmName);
    for (const network of this.networks.values()) network.notifyDisconnect(vmName);
  }

  /** Partitions two VMs from each other; both are notified of the broken connection. */
  cut(left: string, right: string): void {
    this.partitionedLinks.add(linkKey(left, right));
    this.networks.get(left)?.notifyDisconnect(right);
    this.networks.get(right)?.notifyDisconnect(left);
  }

  /** Ends the partition or silence between two VMs. */
  heal(left: string, right: string): void {
    this.partitionedLinks.delete(linkKey(left, right));
  }

  /** Silences a link: messages are lost, but neither end is notified of a broken connection. */
  silence(left: string, right: string): void {
    this.partitionedLinks.add(linkKey(left, right));
  }

  /** Delays all messages to and from a VM; returns a function that ends the pause. */
  pause(vmName: string): () => void {
    this.pausedVms.add(vmName);
    return () => this.pausedVms.delete(vmName);
  }

  /** Whether a message from one VM can reach the other. */
  isReachable(from: string, to: string): boolean {
    return this.networks.has(to) && !this.partitionedLinks.has(linkKey(from, to));
  }

  /** Delivers one message and returns the answer, each after the latency and any pause; throws if one is lost. */
  async deliver(from: string, to: string, method: string, params: unknown): Promise<unknown> {
    await this.waitForTransit(from, to);
    const target = this.networks.get(to);
    if (target === undefined || !this.isReachable(from, to))
      throw createUnreachableError(to, `${method} from ${from} was lost in transit`);
    const result: unknown = await target.receive(method, structuredClone(params), from);
    await this.waitForTransit(to, from);
    if (!this.isReachable(to, from))
      throw createUnreachableError(to, `the answer to ${method} from ${from} was lost in transit`);
    return structuredClone(result);
  }

  private async waitForTransit(from: string, to: string): Promise<void> {
    await this.clock.sleep(this.latencyMs);
    while (this.pausedVms.has(from) || this.pausedVms.has(to)) await this.clock.sleep(1);
  }
}

/** The peer network of one VM of a PeerHub. */
export class FakePeerNetwork implements peers.PeerNetwork {
  private readonly handlers = new Map<string, peers.PeerHandler>();
  private readonly listeners = new Set<(vmName: string) => void>();

  constructor(
    private readonly self: string,
    private readonly hub: PeerHub,
    private readonly clock: clocks.Clock,
  ) {}

  async call(
    vmName: string,
    method: string,
    params: unknown,
    options: peers.PeerCallOptions,
  ): Promise<neverthrow.Result<unknown, stepError.StepError>> {
    const timeout = new AbortController();
    const deadline = this.clock.sleep(options.timeoutMs, timeout.signal).then(() => {
      throw createUnreachableError(vmName, `no answer to ${method} within ${options.timeoutMs} ms`);
    });
    deadline.catch(() => undefined);
    try {
      const answer = this.hub.deliver(this.self, vmName, method, params);
      return neverthrow.ok(await Promise.race([answer, deadline]));
    } catch (error) {
      return neverthrow.err(asStepError(error, vmName));
    } finally {
      timeout.abort();
    }
  }

  notify(vmName: string, method: string, params: unknown): boolean {
    if (!this.hub.isReachable(this.self, vmName)) return false;
    this.hub.deliver(this.self, vmName, method, params).catch(() => undefined);
    return true;
  }

  register(method: string, handler: peers.PeerHandler): Disposable {
    this.handlers.set(method, handler);
    return {
      [Symbol.dispose]: () => {
        this.handlers.delete(method);
      },
    };
  }

  onDisconnect(listener: (vmName: string) => void): Disposable {
    this.listeners.add(listener);
    return {
      [Symbol.dispose]: () => {
        this.listeners.delete(listener);
      },
    };
  }

  /** Passes a message from the hub to its handler; throws if there is none. */
  receive(method: string, params: unknown, from: string): unknown {
    const handler = this.handlers.get(method);
    if (handler === undefined) throw createUnreachableError(this.self, `no handler for ${method}`);
    return handler(params, from);
  }

  /** Notifies the listeners that the connection to a VM broke. */
  notifyDisconnect(vmName: string): void {
    for (const listener of this.listeners) listener(vmName);
  }
}

function linkKey(left: string, right: string): string {
  return [left, right].sort().join("|");
}

function asStepError(error: unknown, peer: string): stepError.StepError {
  if (error instanceof stepError.StepError) return error;
  return createUnreachableError(peer, error instanceof Error ? error.message : "unknown failure");
}

function createUnreachableError(peer: string, message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PeerUnreachable,
    step: "peer.call",
    peer,
    execution: stepError.ExecutionState.Unknown,
  });
}
