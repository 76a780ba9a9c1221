import type * as net from "node:net";

import * as constants from "../../constants.js";
import * as frameSource from "../frameSource/index.js";
import * as handshake from "../handshake/index.js";
import type * as linkContext from "../linkContext/index.js";
import * as linkErrors from "../linkErrors/index.js";
import * as openSocket from "../openSocket/index.js";

/** A connection that this VM has made, with what is known of its silence. */
export interface OpenConnection {
  readonly socket: net.Socket;
  readonly source: frameSource.FrameSource;
  /** Aborted when nothing more may be written. */
  readonly closed: AbortController;
  /** When the first message went out that nothing has come back after. */
  awaitingSinceMs: number | null;
  isPinged: boolean;
  isIdleClosed: boolean;
  lastUsedAtMs: number;
}

/**
 * Connects to a VM and authenticates, within the time set for both together.
 *
 * @param connectionNumber - counts the connections that were made to the VM
 * @throws a StepError, the socket's error, or the signal's reason
 */
export async function openPeerConnection(
  vmName: string,
  connectionNumber: number,
  context: linkContext.LinkContext,
  stop: AbortSignal,
): Promise<OpenConnection> {
  const { options, clock, directory } = context;
  const endpoint = directory.endpointOf(vmName);
  if (endpoint === undefined) {
    throw linkErrors.notSentError(vmName, "the VM's address is not known");
  }
  const timeout = new AbortController();
  const timer = clock.schedule(options.connectTimeoutMs, () =>
    timeout.abort(new Error(`no connection within ${options.connectTimeoutMs} ms`)),
  );
  const signal = AbortSignal.any([timeout.signal, stop]);
  try {
    const socket = await openSocket.openSocket(endpoint, options, signal);
    const claim: handshake.ConnectionClaim = {
      from: options.vmName,
      to: vmName,
      startedAtWallMs: context.startedAtWallMs,
      connectionNumber,
    };
    return await authenticate(socket, claim, context, signal);
  } finally {
    timer[Symbol.dispose]();
  }
}

async function authenticate(
  socket: net.Socket,
  claim: handshake.ConnectionClaim,
  context: linkContext.LinkContext,
  signal: AbortSignal,
): Promise<OpenConnection> {
  const destroy = (): unknown => socket.destroy(signal.reason as Error);
  socket.on("error", () => undefined);
  signal.addEventListener("abort", destroy, { once: true });
  try {
    const source = new frameSource.FrameSource(socket, constants.MAX_HANDSHAKE_FRAME_BYTES);
    await handshake.authenticateAsDialler(socket, source, claim, context.options.fleetKey);
    source.setMaxFrameBytes(context.options.maxFrameBytes);
    return {
      socket,
      source,
      closed: new AbortController(),
      awaitingSinceMs: null,
      isPinged: false,
      isIdleClosed: false,
      lastUsedAtMs: context.clock.nowMs(),
    };
  } catch (error) {
    socket.destroy();
    throw error;
  } finally {
    signal.removeEventListener("abort", destroy);
  }
}
