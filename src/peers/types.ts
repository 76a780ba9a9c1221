import type * as neverthrow from "neverthrow";

import type * as stepError from "../_lib/stepError/index.js";

/** Options of one call to a peer; the call fails after the timeout. */
export interface PeerCallOptions {
  readonly timeoutMs: number;
}

/**
 * Handles one method and returns its result. The parameters come from another process, so the
 * handler has to validate them.
 */
export type PeerHandler = (params: unknown, fromVm: string) => unknown;

/** Sends and receives messages between the VMs of the fleet. */
export interface PeerNetwork {
  /**
   * Calls a method on another VM and waits for its result.
   *
   * @returns the result, or the error of the connection, the deadline or the remote handler
   */
  call(
    vmName: string,
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<neverthrow.Result<unknown, stepError.StepError>>;
  /**
   * Sends a notification. Messages to one VM arrive in the order in which they were sent, or are
   * lost.
   *
   * @returns false if the VM is unreachable, the queue to it is full or the message is too large;
   * nothing was queued then
   */
  notify(vmName: string, method: string, params: unknown): boolean;
  /**
   * Registers the handler of a method until disposed.
   *
   * @throws an Error if the method already has a handler
   */
  register(method: string, handler: PeerHandler): Disposable;
  /** Calls the listener when a connection with a VM is lost, or cannot be established. */
  onDisconnect(listener: (vmName: string) => void): Disposable;
}

/** Address and port on which a VM listens for its peers. */
export interface PeerEndpoint {
  readonly address: string;
  readonly port: number;
}

/** Looks up a VM's endpoint by its name, usually in the fleet's membership. */
export interface PeerDirectory {
  /** Returns the VM's endpoint; undefined if it is unknown. */
  findEndpoint(vmName: string): PeerEndpoint | undefined;
}

/** Certificates for mutual TLS between VMs, as PEM. */
export interface PeerTlsOptions {
  readonly ca: string;
  readonly cert: string;
  readonly key: string;
}

/** Options of a VM's peer network. */
export interface PeerOptions {
  readonly vmName: string;
  readonly listenAddress: string;
  /** 0 lets the operating system choose a port. */
  readonly listenPort: number;
  /** Secret that all VMs of the fleet share, for authentication in the handshake. */
  readonly fleetKey: string;
  /** Mutual TLS, in addition to authentication by the fleet key; null for plain TCP. */
  readonly tls: PeerTlsOptions | null;
  readonly maxFrameBytes: number;
  /** Limits of the queue of frames that wait to be written to one VM, in bytes and frames. */
  readonly maxQueuedBytes: number;
  readonly maxQueuedCount: number;
  /** Maximum number of concurrent requests of one VM; beyond it, its connection is not read. */
  readonly maxPendingCount: number;
  /** Maximum number of inbound connections in the handshake; further ones are closed. */
  readonly maxUnauthenticatedCount: number;
  /** Timeout of connecting and the handshake together. */
  readonly connectTimeoutMs: number;
  /** Time without received data after a write, before a ping is sent. */
  readonly pingAfterMs: number;
  /** Time without received data after a write, before the connection is closed as silent. */
  readonly silenceTimeoutMs: number;
  /** Time without writes after which a connection without pending calls is closed as idle. */
  readonly idleCloseMs: number;
  /** Bounds of the exponential backoff after failed attempts to connect. */
  readonly minBackoffMs: number;
  readonly maxBackoffMs: number;
}
