import * as net from "node:net";

import * as neverthrow from "neverthrow";

import * as diagnostics from "../../diagnostics/index.js";
import type * as servers from "../../servers/index.js";
import * as loans from "../_lib/connectOnLoan/index.js";
import * as connections from "../_lib/openConnection/index.js";
import * as constants from "../constants.js";
import * as linkMonitors from "../linkMonitor/index.js";
import * as silenceMonitors from "../silenceMonitor/index.js";
import * as tunnelFinders from "../tunnelFinder/index.js";
import * as types from "../types.js";

export type { LoanOptions } from "../_lib/connectOnLoan/index.js";

const { Importance, LogEvent } = diagnostics;
const { LinkState } = types;

/** What the cause of a failed connection contains if nothing listens at the address. */
const REFUSED_CODE = "ECONNREFUSED";

/** Opens TCP connections over the network of this VM. */
export const dialTcp: types.Dial = ({ host, port }) =>
  net.connect({ host, port, noDelay: true, allowHalfOpen: true });

/** Dependencies of the connector. */
export interface ConnectorContext extends tunnelFinders.FinderContext {
  readonly log: diagnostics.DecisionLog;
  /** Opens connections to servers. */
  readonly dial: types.Dial;
  /** Lists the servers of all services that accept work. */
  readonly listServers: () => readonly servers.ServerEntry[];
  /** Called when a server's address refused a connection, as nothing listens there. */
  readonly onRefused?: (serverId: string) => void;
}

/** What a connection to a server is opened for. */
export interface ConnectOptions {
  readonly requestId: string;
  readonly signal: AbortSignal;
  /** Whether the request may run more than once, so that it may try links that may be silent. */
  readonly isRepeatable?: boolean;
  /** Whether the connection leads through a peer where one opens a tunnel, as own links may be silent. */
  readonly prefersPeer?: boolean;
}

/** A connection to a server. */
export interface ServerConnection {
  readonly socket: net.Socket;
  /** The peer through which it leads; null if this VM reaches the server itself. */
  readonly peer: types.TunnelPeer | null;
  /** Has to be called when the first bytes of an answer have arrived. */
  readonly recordBytes: () => void;
}

type ConnectResult = neverthrow.Result<ServerConnection, string>;

/**
 * Opens connections to backend servers: over this VM's own links, or, while it is cut off from all
 * servers, through tunnels of its peers. A peer serves tunnels over its own links alone, so that no
 * connection passes through two of them.
 */
export class ServerConnector implements Disposable {
  private readonly monitor: linkMonitors.LinkMonitor;
  private readonly silence: silenceMonitors.SilenceMonitor;
  private readonly finder: tunnelFinders.TunnelFinder;
  private readonly stopping = new AbortController();
  private probesCount = 0;
  private tunnelsCount = 0;

  constructor(private readonly context: ConnectorContext) {
    this.monitor = new linkMonitors.LinkMonitor(context.clock);
    this.silence = new silenceMonitors.SilenceMonitor(context.clock);
    this.finder = new tunnelFinders.TunnelFinder(context);
  }

  /** Whether this VM is cut off from all servers. */
  get isCutOff(): boolean {
    return this.monitor.isCutOff;
  }

  /** What this VM has seen of its own links lately. */
  get linkState(): types.LinkState {
    return this.monitor.linkState(this.context.listServers().length);
  }

  /** Name of a peer that has opened a tunnel lately; null if there is none. */
  get reachingVm(): string | null {
    return this.finder.reachingVm;
  }

  /** Whether servers that accept this VM's connections may answer it nothing. */
  get mayBeSilent(): boolean {
    return this.silence.isSilent || this.silence.isSuspected(this.context.listServers().length);
  }

  /** Whether it is known without a further attempt that this VM does not reach a server. */
  isKnownUnreachable(serverId: string): boolean {
    const isFailing = this.linkState === LinkState.Failing;
    return this.isCutOff || (isFailing && this.monitor.hasFailedLately(serverId));
  }

  /** Whether a server's address has refused this VM's connection, which may be slow, but is not cut off. */
  hasRefused(serverId: string): boolean {
    return !this.isCutOff && this.monitor.hasBeenRefusedLately(serverId);
  }

  /** Opens a connection to a server; the error is its cause as a text, and nothing was sent. */
  async connect(server: servers.ServerEntry, options: ConnectOptions): Promise<ConnectResult> {
    if (this.monitor.isCutOff || this.avoidsOwnLinks(options)) {
      const tunnelled = await this.openTunnel(server, options);
      if (tunnelled.isOk() || options.signal.aborted) return tunnelled;
    }
    const direct = await this.connectDirectly(server, options.signal);
    if (direct.isOk()) return direct.map((socket) => this.watchDirect(server, socket));
    const isAsked =
      !options.signal.aborted &&
      !this.monitor.isCutOff &&
      this.monitor.shouldAskPeers(this.context.listServers().length);
    if (!isAsked) return neverthrow.err(direct.error);
    const tunnelled = await this.openTunnel(server, options);
    if (tunnelled.isOk()) this.recordCut(server, tunnelled.value, direct.error);
    else this.monitor.recordNoTunnel();
    return tunnelled.mapErr((cause) => `${direct.error}; ${cause}`);
  }

  /** Opens a connection to a server through a peer that lends a place there; the error is its cause as a text. */
  connectOnLoan(
    peerName: string,
    server: servers.ServerEntry,
    options: loans.LoanOptions,
  ): Promise<ConnectResult> {
    return loans.connectOnLoan(this.context, peerName, server, options);
  }

  /** Opens a connection over this VM's own links alone; the error is its cause as a text. */
  async connectDirectly(
    server: Pick<servers.ServerEntry, "id" | "host" | "port">,
    signal: AbortSignal,
  ): Promise<neverthrow.Result<net.Socket, string>> {
    const { clock } = this.context;
    const options = { clock, timeoutMs: constants.CONNECT_TIMEOUT_MS, signal };
    const opened = await connections.openConnection(this.context.dial, server, options);
    if (opened.isErr()) {
      const isRefused = opened.error.includes(REFUSED_CODE);
      if (!signal.aborted) this.monitor.recordFailed(server.id, isRefused);
      if (isRefused) this.context.onRefused?.(server.id);
      return opened;
    }
    const { cutOffMs } = this.monitor;
    if (this.monitor.recordConnected()) {
      this.context.log.record(Importance.StateChange, LogEvent.ServersReachable, {
        serverId: server.id,
        cutOffMs: Math.round(cutOffMs),
        tunnelsCount: this.tunnelsCount,
      });
    }
    return opened;
  }

  /** Returns whether a server accepts a connection; sends nothing on it. */
  async isReachable(server: servers.ServerEntry, options: ConnectOptions): Promise<boolean> {
    const opened = await this.connect(server, options);
    if (opened.isOk()) opened.value.socket.destroy();
    return opened.isOk();
  }

  /**
   * Returns whether a server that has answered is still up, and so is the peer through whose tunnel it has. A
   * process that ends closes its connections in order, so that the end of one does not show that of an answer.
   *
   * @param peer - null if the answer came over this VM's own links
   */
  async isStillUp(
    server: servers.ServerEntry,
    peer: types.TunnelPeer | null,
    options: ConnectOptions,
  ): Promise<boolean> {
    if (peer !== null) {
      const tunnel = await this.context.requestTunnel(peer, { server, ...options }, options.signal);
      if (tunnel.isOk()) tunnel.value.destroy();
      if (tunnel.isOk() || !tunnel.error.hasAnswered) return tunnel.isOk();
    }
    for (let count = 0; count < constants.MAX_UP_PROBES_COUNT; count += 1) {
      const opened = await this.connect(server, options);
      if (opened.isOk()) opened.value.socket.destroy();
      const isKnown = opened.isOk() || opened.error.includes(REFUSED_CODE);
      if (isKnown || options.signal.aborted) return opened.isOk();
    }
    return false;
  }

  /** Returns whether peers reach a server that this VM does not reach. */
  probeByPeers(server: servers.ServerEntry): Promise<tunnelFinders.PeerVerdict> {
    return this.finder.probe(server);
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
  }

  private async openTunnel(
    server: servers.ServerEntry,
    options: ConnectOptions,
  ): Promise<ConnectResult> {
    const { clock, log } = this.context;
    const startedAtMs = clock.nowMs();
    const found = await this.finder.find(server, options);
    const fields = {
      requestId: options.requestId,
      serverId: server.id,
      elapsedMs: Math.round(clock.nowMs() - startedAtMs),
      linkState: this.linkState,
      beliefAgeMs: Math.round(this.monitor.cutOffMs),
    };
    if (found.isOk()) {
      const { socket, peer } = found.value;
      this.tunnelsCount += 1;
      const details = { ...fields, peer: peer.vmName, dataCentre: peer.dataCentre };
      log.record(Importance.Routine, LogEvent.TunnelOpened, details);
      const recordBytes = (): void => this.recordBytesThroughPeer(server, peer);
      return neverthrow.ok({ socket, peer, recordBytes });
    }
    const causes = found.error.causes.join(", ") || "no peer was asked";
    if (!options.signal.aborted)
      log.record(Importance.Notable, LogEvent.TunnelUnavailable, { ...fields, causes });
    return neverthrow.err(`no tunnel: ${causes}`);
  }

  private avoidsOwnLinks({ isRepeatable, prefersPeer }: ConnectOptions): boolean {
    if (prefersPeer === true) return true;
    if (!this.silence.isSilent) return false;
    return isRepeatable !== true || !this.silence.takeTrial();
  }

  /** Watches a connection over this VM's own links until the first bytes of an answer. */
  private watchDirect(server: servers.ServerEntry, socket: net.Socket): ServerConnection {
    const watch = this.silence.watch(server.id);
    socket.once("close", () => watch[Symbol.dispose]());
    const recordBytes = (): void => {
      const { isSilent, silentMs } = this.silence;
      watch.recordBytes();
      if (!isSilent) return;
      this.context.log.record(Importance.StateChange, LogEvent.ServersHeard, {
        serverId: server.id,
        silentMs: Math.round(silentMs),
      });
    };
    return { socket, peer: null, recordBytes };
  }

  private recordBytesThroughPeer(server: servers.ServerEntry, peer: types.TunnelPeer): void {
    const serversCount = this.context.listServers().length;
    if (!this.silence.recordBytesThroughPeer(server.id, serversCount)) return;
    this.context.log.record(Importance.StateChange, LogEvent.ServersSilent, {
      serverId: server.id,
      peer: peer.vmName,
      dataCentre: peer.dataCentre,
    });
  }

  private recordCut(server: servers.ServerEntry, { peer }: ServerConnection, cause: string): void {
    const { unreachableIds } = this.monitor;
    if (!this.monitor.recordTunnel()) return;
    this.tunnelsCount = 1;
    this.context.log.record(Importance.StateChange, LogEvent.ServersUnreachable, {
      serverId: server.id,
      cause,
      unreachable: unreachableIds.join(", "),
      peer: peer?.vmName,
    });
    void this.probeUntilReachable();
  }

  /** Tries the servers in turn over this VM's own links until one is reached. */
  private async probeUntilReachable(): Promise<void> {
    const { clock, listServers } = this.context;
    const { signal } = this.stopping;
    while (this.monitor.isCutOff) {
      // Rejects only when the connector is disposed.
      await clock.sleep(constants.LINK_PROBE_INTERVAL_MS, signal).catch(() => null);
      if (signal.aborted) return;
      const known = listServers();
      const server = known[this.probesCount % Math.max(1, known.length)];
      this.probesCount += 1;
      if (server === undefined) continue;
      const opened = await this.connectDirectly(server, signal);
      if (opened.isOk()) opened.value.destroy();
    }
  }
}
