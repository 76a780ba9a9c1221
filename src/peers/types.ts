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
