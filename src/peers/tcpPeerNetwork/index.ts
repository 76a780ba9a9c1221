import "reflect-metadata";

import type * as net from "node:net";

import * as jsonrpc from "json-rpc-2.0";
import type * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";

import type * as clocks from "../../_lib/clock/index.js";
import * as disposableStore from "../../_lib/disposableStore/index.js";
import type * as logging from "../../_lib/logger/index.js";
import type * as randoms from "../../_lib/random/index.js";
import type * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as telemetry from "../../telemetry/types.js";
import * as deadlineQueue from "../_lib/deadlineQueue/index.js";
import * as inboundConnections from "../_lib/inboundConnections/index.js";
import type * as linkContext from "../_lib/linkContext/index.js";
import * as openSocket from "../_lib/openSocket/index.js";
import * as peerLink from "../_lib/peerLink/index.js";
import * as remoteError from "../_lib/remoteError/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

const { TOKENS } = tokens;

/** A liveness check that is late by this many intervals indicates a pause of this process. */
const LATE_CHECK_INTERVALS_COUNT = 3;

/**
 * JSON-RPC between VMs over TCP. Each direction has its own connection, opened at the first
 * message, so messages to one VM keep their order. When a connection is lost, the onDisconnect
 * listeners are called, and queued or later messages open a new one; messages that were already
 * written are not sent again.
 */
@tsyringe.injectable()
export class TcpPeerNetwork implements types.PeerNetwork, AsyncDisposable {
  private readonly server = new jsonrpc.JSONRPCServer<string>({ errorListener: () => undefined });
  private readonly links = new Map<string, peerLink.PeerLink>();
  private readonly listeners = new Set<(vmName: string) => void>();
  private readonly resources = new disposableStore.DisposableStore();
  private readonly context: linkContext.LinkContext;
  private readonly inbound: inboundConnections.InboundConnections;
  private listener: net.Server | undefined;

  constructor(
    @tsyringe.inject(TOKENS.peerOptions) options: types.PeerOptions,
    @tsyringe.inject(TOKENS.peerDirectory) directory: types.PeerDirectory,
    @tsyringe.inject(TOKENS.clock) private readonly clock: clocks.Clock,
    @tsyringe.inject(TOKENS.random) random: randoms.RandomSource,
    @tsyringe.inject(TOKENS.logger) private readonly logger: logging.Logger,
    @tsyringe.inject(TOKENS.metrics) metrics: telemetry.Metrics,
  ) {
    this.context = {
      options,
      directory,
      clock,
      random: random.fork(),
      logger,
      metrics,
      deadlines: this.resources.add(new deadlineQueue.DeadlineQueue(clock)),
      startedAtWallMs: clock.wallTimeMs(),
      onLost: (vmName) => this.notifyDisconnected(vmName),
    };
    this.server.mapErrorToJSONRPCErrorResponse = remoteError.toErrorResponse;
    this.server.addMethod(peerLink.LinkMethod.Ping, () => null);
    this.server.addMethod(peerLink.LinkMethod.Leave, () => null);
    this.inbound = new inboundConnections.InboundConnections(this.server, this.context);
  }

  /** The listening port; 0 until listen() has resolved. */
  get port(): number {
    const address = this.listener?.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  }

  /**
   * Starts to accept connections and to check the liveness of outbound ones.
   *
   * @throws the system's error if the address cannot be bound
   */
  async listen(): Promise<void> {
    const { options } = this.context;
    const server = await openSocket.listenForSockets(options, (socket) =>
      this.inbound.accept(socket),
    );
    this.listener = server;
    this.resources.defer(() => this.inbound.close());
    this.resources.defer(() => void server.close());
    this.startLivenessChecks();
  }

  call(
    vmName: string,
    method: string,
    params: unknown,
    options: types.PeerCallOptions,
  ): Promise<neverthrow.Result<unknown, stepError.StepError>> {
    return this.getOrCreateLink(vmName).call(method, params, options.timeoutMs);
  }

  notify(vmName: string, method: string, params: unknown): boolean {
    return this.getOrCreateLink(vmName).notify(method, params);
  }

  register(method: string, handler: types.PeerHandler): Disposable {
    if (this.server.hasMethod(method)) throw new Error(`method ${method} already has a handler`);
    this.server.addMethod(method, handler);
    return {
      [Symbol.dispose]: () => this.server.removeMethod(method),
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

  async [Symbol.asyncDispose](): Promise<void> {
    this.listeners.clear();
    await Promise.all([...this.links.values()].map((link) => link.close()));
    this.links.clear();
    await this.resources[Symbol.asyncDispose]();
  }

  private getOrCreateLink(vmName: string): peerLink.PeerLink {
    const existing = this.links.get(vmName);
    if (existing !== undefined) return existing;
    const link = new peerLink.PeerLink(vmName, this.context);
    this.links.set(vmName, link);
    return link;
  }

  private startLivenessChecks(): void {
    const stop = new AbortController();
    const task = this.runLivenessChecks(stop.signal);
    this.resources.defer(async () => {
      stop.abort();
      await task;
    });
  }

  private async runLivenessChecks(signal: AbortSignal): Promise<void> {
    let lastCheckAtMs = this.clock.nowMs();
    while (!signal.aborted) {
      await this.clock.sleep(constants.LIVENESS_CHECK_INTERVAL_MS, signal).catch(() => undefined);
      const nowMs = this.clock.nowMs();
      const isLate =
        nowMs - lastCheckAtMs > LATE_CHECK_INTERVALS_COUNT * constants.LIVENESS_CHECK_INTERVAL_MS;
      lastCheckAtMs = nowMs;
      for (const link of this.links.values()) {
        if (isLate) link.resetSilence(nowMs);
        else link.checkLiveness(nowMs);
      }
    }
  }

  private notifyDisconnected(vmName: string): void {
    for (const listener of this.listeners) this.callListener(listener, vmName);
  }

  private callListener(listener: (vmName: string) => void, vmName: string): void {
    try {
      listener(vmName);
    } catch (error) {
      this.logger.error({ peer: vmName, err: error }, "disconnect listener threw an error");
    }
  }
}
