import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as peers from "../../../src/peers/types.js";

/** Connects in-process peer networks; links between VMs can be cut and delayed. */
export class PeerHub {
  latencyMs = 0;
  private readonly networks = new Map<string, FakePeerNetwork>();
  private readonly cutLinks = new Set<string>();
  private readonly pausedVms = new Set<string>();

  constructor(private readonly clock: clocks.Clock) {}

  /** The network as one VM sees it. */
  join(vmName: string): FakePeerNetwork {
    const network = new FakePeerNetwork(vmName, this, this.clock);
    this.networks.set(vmName, network);
    return network;
  }

  /** Removes a VM; others see its connections break. */
  kill(vmName: string): void {
    this.networks.delete(vmName);
    for (const network of this.networks.values()) network.disconnected(vmName);
  }

  cut(left: string, right: string): void {
    this.cutLinks.add(linkKey(left, right));
    this.networks.get(left)?.disconnected(right);
    this.networks.get(right)?.disconnected(left);
  }

  heal(left: string, right: string): void {
    this.cutLinks.delete(linkKey(left, right));
  }

  /** Makes the link go silent: messages vanish, and nobody sees a broken connection. */
  silence(left: string, right: string): void {
    this.cutLinks.add(linkKey(left, right));
  }

  /** Holds back everything that a VM sends and receives; returns a function that lets it go on. */
  pause(vmName: string): () => void {
    this.pausedVms.add(vmName);
    return () => this.pausedVms.delete(vmName);
  }

  isReachable(from: string, to: string): boolean {
    return this.networks.has(to) && !this.cutLinks.has(linkKey(from, to));
  }

  /** Delivers one message after the latency, waiting while either end is paused. */
  async deliver(from: string, to: string, method: string, params: unknown): Promise<unknown> {
    await this.transit(from, to);
    const target = this.networks.get(to);
    if (target === undefined || !this.isReachable(from, to))
      throw unreachable(to, "lost on the way");
    const result: unknown = await target.receive(method, structuredClone(params), from);
    await this.transit(to, from);
    if (!this.isReachable(to, from)) throw unreachable(to, "answer lost on the way");
    return structuredClone(result);
  }

  private async transit(from: string, to: string): Promise<void> {
    await this.clock.sleep(this.latencyMs);
    while (this.pausedVms.has(from) || this.pausedVms.has(to)) await this.clock.sleep(1);
  }
}

/** One VM's end of a PeerHub. */
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
      throw unreachable(vmName, `no answer to ${method} for ${options.timeoutMs} ms`);
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

  /** Called by the hub with a message for this VM. */
  receive(method: string, params: unknown, from: string): unknown {
    const handler = this.handlers.get(method);
    if (handler === undefined) throw unreachable(this.self, `no handler for ${method}`);
    return handler(params, from);
  }

  /** Called by the hub when the connection to a VM breaks. */
  disconnected(vmName: string): void {
    for (const listener of this.listeners) listener(vmName);
  }
}

function linkKey(left: string, right: string): string {
  return [left, right].sort().join("|");
}

function asStepError(error: unknown, peer: string): stepError.StepError {
  if (error instanceof stepError.StepError) return error;
  return unreachable(peer, error instanceof Error ? error.message : "unknown failure");
}

function unreachable(peer: string, message: string): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.PeerUnreachable,
    step: "peer.call",
    peer,
    execution: stepError.ExecutionState.Unknown,
  });
}
