import type * as http from "node:http";
import type * as net from "node:net";

import * as neverthrow from "neverthrow";

import type * as byteBudgets from "../../_lib/byteBudget/index.js";
import * as resetSockets from "../../_lib/resetSocket/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as boundLoans from "../_lib/boundLoan/index.js";
import * as spliceSockets from "../_lib/spliceSockets/index.js";
import { TunnelDenial } from "../_lib/tunnelDenial/index.js";
import * as tunnelRequests from "../_lib/tunnelRequest/index.js";
import * as constants from "../constants.js";
import type * as types from "../types.js";

export { REFUSAL_BY_DENIAL, TunnelDenial } from "../_lib/tunnelDenial/index.js";

const { Importance, LogEvent } = diagnostics;

/** The VM that asks for a tunnel, and the address from which it asks. */
export interface TunnelSender {
  readonly vmName: string;
  readonly host: string;
}

/** A tunnel that was not opened. */
export interface DeniedTunnel {
  readonly denial: TunnelDenial;
  /** Why the server could not be connected to; null if that was not tried. */
  readonly cause: string | null;
}

/** A place at a server that a peer has on loan. */
export interface LentPlace {
  /** Ends the loan; the server may still run what the peer has sent. */
  readonly end: (mayStillRun: boolean) => void;
}

/** Dependencies of the tunnel server. */
export interface TunnelServerContext {
  readonly log: diagnostics.DecisionLog;
  readonly meters: Pick<diagnostics.Meters, "internalErrors">;
  /** Bounds the bytes of all tunnels that neither side has read. */
  readonly bytes: byteBudgets.ByteBudget;
  readonly listPeers: () => readonly types.TunnelPeer[];
  /** Name of a peer that reaches servers, if this VM does not itself; null if none is known. */
  readonly findReachingVm: () => string | null;
  /** Returns why this VM must not send to a server; null if it may. */
  readonly findDenial: (server: types.TunnelRequest["server"]) => TunnelDenial | null;
  /** Lends a place at a server as soon as one is free; null if none is in time, or if the server is not known. */
  readonly lendPlace: (
    server: types.TunnelRequest["server"],
    waitMs: number,
    signal: AbortSignal,
  ) => Promise<LentPlace | null>;
  /** Whether a server's address has lately refused this VM's connection. */
  readonly hasRefused: (serverId: string) => boolean;
  /** Opens a connection over this VM's own links alone. */
  readonly connect: (
    server: types.TunnelRequest["server"],
    signal: AbortSignal,
  ) => Promise<neverthrow.Result<net.Socket, string>>;
}

/**
 * Serves tunnels to peers that are cut off from the servers: connections to servers that this VM knows
 * and reaches itself.
 */
export class TunnelServer implements Disposable {
  private readonly sockets = new Set<net.Socket>();

  constructor(private readonly context: TunnelServerContext) {}

  /** Number of open tunnels. */
  get tunnelsCount(): number {
    return this.sockets.size;
  }

  /** Serves the CONNECT requests of an HTTP server. */
  attach(server: http.Server): void {
    server.on("connect", (message, socket: net.Socket, head: Buffer) => {
      // A caller that leaves before its tunnel is open needs no answer.
      socket.on("error", () => undefined);
      this.serve(message, socket, head).catch((error: unknown) => {
        diagnostics.recordInternalError(this.context, diagnostics.ErrorOrigin.Tunnel, error);
        socket.destroy();
      });
    });
  }

  [Symbol.dispose](): void {
    for (const socket of this.sockets) resetSockets.resetSocket(socket);
  }

  private async serve(
    message: http.IncomingMessage,
    socket: net.Socket,
    head: Buffer,
  ): Promise<void> {
    const decoded = tunnelRequests.decodeTunnelRequest(message);
    if (decoded.isErr()) {
      this.deny(socket, TunnelDenial.Malformed, { cause: decoded.error, serverId: null });
      return;
    }
    const { vmName, server, requestId, loan = null } = decoded.value;
    const fields = { requestId, peer: vmName, serverId: server.id };
    const left = new AbortController();
    socket.once("close", () => left.abort());
    this.sockets.add(socket);
    socket.once("close", () => this.sockets.delete(socket));
    const sender = { vmName, host: socket.remoteAddress ?? "" };
    const lent = await this.lendPlace(sender, decoded.value, left.signal);
    const opened = lent.isErr()
      ? neverthrow.err(lent.error)
      : await this.open(sender, server, left.signal);
    if (opened.isErr()) {
      if (lent.isOk()) lent.value?.end(false);
      this.sockets.delete(socket);
      this.deny(socket, opened.error.denial, { ...fields, cause: opened.error.cause });
      return;
    }
    socket.write(tunnelRequests.encodeAcceptance(loan !== null));
    if (head.length > 0) socket.unshift(head);
    if (loan !== null && lent.isOk() && lent.value !== null)
      boundLoans.boundLoan({ ...loan, place: lent.value, borrower: socket, server: opened.value });
    spliceSockets.spliceSockets(socket, opened.value, this.context.bytes);
    this.context.log.record(Importance.Routine, LogEvent.TunnelServed, fields);
  }

  /** Connects to a server for a peer, or returns why there is no connection. */
  async open(
    sender: TunnelSender,
    server: types.TunnelRequest["server"],
    signal: AbortSignal,
  ): Promise<neverthrow.Result<net.Socket, DeniedTunnel>> {
    const denial = this.findDenial(sender, server);
    if (denial !== null) return neverthrow.err({ denial, cause: null });
    const opened = await this.context.connect(server, signal);
    // The attempt itself may have shown that this VM reaches no server.
    return opened.mapErr((cause) => ({
      denial:
        this.context.findDenial(server) === TunnelDenial.CutOff
          ? TunnelDenial.CutOff
          : TunnelDenial.ServerUnreachable,
      cause,
    }));
  }

  /** Lends a place at the server if the peer asks for one. */
  private async lendPlace(
    sender: TunnelSender,
    { server, loan = null }: types.TunnelRequest,
    left: AbortSignal,
  ): Promise<neverthrow.Result<LentPlace | null, DeniedTunnel>> {
    if (loan === null) return neverthrow.ok(null);
    const denial = this.findDenial(sender, server);
    if (denial !== null) return neverthrow.err({ denial, cause: null });
    const place = await this.context.lendPlace(server, loan.waitMs, left);
    if (place === null) return neverthrow.err({ denial: TunnelDenial.NoPlace, cause: null });
    return neverthrow.ok(place);
  }

  private findDenial(
    { vmName, host }: TunnelSender,
    server: types.TunnelRequest["server"],
  ): TunnelDenial | null {
    const peer = this.context.listPeers().find((known) => known.vmName === vmName);
    if (peer?.host !== host) return TunnelDenial.UnknownVm;
    const isFull = this.sockets.size > constants.MAX_SERVED_TUNNELS_COUNT;
    return isFull ? TunnelDenial.Overloaded : this.context.findDenial(server);
  }

  private deny(
    socket: net.Socket,
    denial: TunnelDenial,
    fields: diagnostics.LogFields & { readonly serverId: string | null },
  ): void {
    const reachingVm = denial === TunnelDenial.CutOff ? this.context.findReachingVm() : null;
    const doesServerRefuse = fields.serverId !== null && this.context.hasRefused(fields.serverId);
    const details = { ...fields, denial, reachingVm, doesServerRefuse };
    // Under load, peers ask for places all the time.
    const importance = denial === TunnelDenial.NoPlace ? Importance.Routine : Importance.Notable;
    this.context.log.record(importance, LogEvent.TunnelRefused, details);
    socket.end(tunnelRequests.encodeRefusal(denial, { reachingVm, doesServerRefuse }));
  }
}
