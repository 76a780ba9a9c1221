import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";

/** Options of one call to a peer. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/** Answers one method; params come from another process and are checked by the handler. */
export type PeerHandler = (params: unknown, fromVm: string) => unknown;

/** Messages between our own processes. */
export interface PeerNetwork {
  /** Calls a method on another VM and waits for its result. */
  call(
    vmName: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<neverthrow.Result<unknown, stepError.StepError>>;
  /**
   * Sends a notification; messages to one VM arrive in order or not at all.
   *
   * @returns false when the VM is unreachable or its queue is full, and nothing was sent
   */
  notify(vmName: string, method: string, params: unknown): boolean;
  /** Registers the handler of a method; one handler a method. */
  register(method: string, handler: PeerHandler): Disposable;
  /** Called when the connection to a VM is lost. */
  onDisconnect(listener: (vmName: string) => void): Disposable;
}

/** Where a VM listens for its peers. */
export interface PeerEndpoint {
  readonly address: string;
  readonly port: number;
}

/** Finds a VM's endpoint by its name; the fleet's members are the usual source. */
export interface PeerDirectory {
  endpointOf(vmName: string): PeerEndpoint | undefined;
}

/** Certificates for mutual TLS between VMs, as PEM. */
export interface PeerTlsOptions {
  readonly ca: string;
  readonly cert: string;
  readonly key: string;
}

/** How a VM's peer network behaves. */
export interface PeerOptions {
  readonly vmName: string;
  readonly listenAddress: string;
  /** 0 lets the system choose. */
  readonly listenPort: number;
  /** Secret that all VMs of the fleet share. */
  readonly fleetKey: string;
  /** Mutual TLS under the fleet key's authentication; null for plain TCP. */
  readonly tls: PeerTlsOptions | null;
  readonly maxFrameBytes: number;
  /** Bounds of what waits to be written to one VM. */
  readonly maxQueuedBytes: number;
  readonly maxQueuedCount: number;
  /** Requests of one VM in progress at once; past it the VM's connection is not read. */
  readonly maxPendingCount: number;
  readonly maxUnauthenticatedCount: number;
  readonly connectTimeoutMs: number;
  /** Silence after a message, before a ping is sent. */
  readonly pingAfterMs: number;
  /** Silence after a message, before a new connection is tried. */
  readonly silenceTimeoutMs: number;
  /** A connection without messages is closed after this time. */
  readonly idleCloseMs: number;
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}
