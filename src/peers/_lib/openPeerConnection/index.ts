import type * as net from "node:net";

import * as constants from "../../constants.js";
import * as frameSource from "../frameSource/index.js";
import * as handshake from "../handshake/index.js";
import type * as linkContext from "../linkContext/index.js";
import * as linkErrors from "../linkErrors/index.js";
import * as openSocket from "../openSocket/index.js";

/** An authenticated outbound connection with the state of its liveness checks. */
export interface OpenConnection {
  readonly socket: net.Socket;
  readonly source: frameSource.FrameSource;
  /** Aborted to stop writing to the connection. */
  readonly closed: AbortController;
  /** Time of the first write since data was last received; null if every write was answered. */
  unansweredSinceMs: number | null;
  /** Whether a ping was sent since data was last received. */
  isPinged: boolean;
  /** Whether this VM has closed the connection because it was idle. */
  isIdleClosed: boolean;
  /** Time of the last write, or of the handshake before the first. */
  lastUsedAtMs: number;
}

/**
 * Connects to a VM and runs the handshake, both within the connect timeout.
 *
 * @param connectionNumber - number of this attempt among those to connect to the VM
 * @param stop - aborts the attempt
 * @throws a StepError, the socket's error, or the signal's reason
 */
export async function openPeerConnection(
  vmName: string,
  connectionNumber: number,
  context: linkContext.LinkContext,
  stop: AbortSignal,
): Promise<OpenConnection> {
  const { options, clock, directory } = context;
  const endpoint = directory.findEndpoint(vmName);
  if (endpoint === undefined) {
    throw linkErrors.createNotSentError(vmName, `the address of VM ${vmName} is unknown`);
  }
  const timeout = new AbortController();
  const timer = clock.schedule(options.connectTimeoutMs, () =>
    timeout.abort(new Error(`no authenticated connection within ${options.connectTimeoutMs} ms`)),
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
      unansweredSinceMs: null,
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
