import * as http from "node:http";
import type * as net from "node:net";

import * as diagnostics from "../../diagnostics/index.js";
import * as relay from "../../relay/index.js";
import * as routing from "../../routing/index.js";
import * as constants from "../constants.js";
import type * as currentView from "../currentView/index.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;
const { RefusalReason } = relay;

/** Relays calls of one kind. */
type Relay = (call: relay.Call, sink: relay.CallSink) => Promise<void>;

/** What the server works with. */
export interface CallerServerContext {
  readonly settings: types.GatewaySettings;
  readonly ports: types.GatewayPorts;
  readonly view: currentView.CurrentView;
  readonly budget: relay.RetryBudget;
  readonly relays: Readonly<Record<routing.RouteKind, Relay>>;
  /** Time that is left until the process ends; null while it is not asked to. */
  readonly stopsInMs: () => number | null;
}

/** Takes calls from callers' connections, judges whether they may be served, and has them relayed. */
export class CallerServer implements AsyncDisposable {
  private readonly server: http.Server;
  private activeCount = 0;

  constructor(private readonly context: CallerServerContext) {
    this.server = http.createServer(
      { maxHeaderSize: constants.MAX_HEAD_BYTES, keepAlive: true, noDelay: true },
      (request, response) => void this.handle(request, response),
    );
    this.server.headersTimeout = constants.DEFAULT_HEADER_TIMEOUT_MS;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = constants.DEFAULT_IDLE_TIMEOUT_MS + constants.IDLE_MARGIN_MS;
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) =>
      this.answerMalformed(error, socket),
    );
  }

  /** Calls that are being served. */
  get activeCallsCount(): number {
    return this.activeCount;
  }

  /** Accepts connections from now on. */
  async listen({ host, port }: types.ListenAddress): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once("error", reject);
      this.server.listen({ host, port, backlog: 1_024 }, resolve);
    });
  }

  /** Applies a configuration's limits to connections. */
  applyLimits(limits: routing.CallerLimits): void {
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + constants.IDLE_MARGIN_MS;
  }

  /**
   * Takes no further connections and closes idle ones, and ends once the calls that came meanwhile
   * are answered, or at the deadline.
   *
   * @returns calls that were cut at the deadline
   */
  async finish(deadlineAtMs: number): Promise<number> {
    const { clock } = this.context.ports;
    this.server.close();
    for (;;) {
      this.server.closeIdleConnections();
      if (this.activeCount === 0 || clock.nowMs() >= deadlineAtMs) break;
      await clock.sleep(constants.FINISH_INTERVAL_MS);
    }
    // In the same turn as the count, so that no call comes in between.
    const cutCount = this.activeCount;
    this.server.closeAllConnections();
    return cutCount;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    this.server.closeAllConnections();
    await closed;
  }

  private async handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    const { clock } = this.context.ports;
    const arrivedAtMs = clock.nowMs();
    this.activeCount += 1;
    response.once("close", () => {
      this.activeCount -= 1;
    });
    const decoded = this.context.ports.codec.decodeCall(request);
    const sink = new relay.CallSink(
      response,
      this.context.ports.codec,
      decoded.isOk() ? decoded.value.id : "",
      () => clock.nowMs(),
      () => this.context.stopsInMs() !== null,
    );
    if (decoded.isErr()) {
      this.refuse(sink, "", relay.createRefusal(RefusalReason.Malformed), decoded.error);
      return;
    }
    await this.serve(request, response, sink, { head: decoded.value, arrivedAtMs });
  }

  private async serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    sink: relay.CallSink,
    { head, arrivedAtMs }: { readonly head: relay.CallHead; readonly arrivedAtMs: number },
  ): Promise<void> {
    const callerGone = watchCaller(response);
    const admitted = this.admit(request, head);
    if ("refusal" in admitted) {
      this.refuse(sink, head.id, admitted.refusal, admitted.detail);
      // The rest of the body is not wanted; reading it lets the answer reach the caller.
      request.resume();
      return;
    }
    const { route, account, serviceName, limits } = admitted;
    const collected = await relay.collectBody(request, limits.maxBodyBytes);
    if (collected.end === relay.BodyEnd.Truncated) return;
    if (collected.end === relay.BodyEnd.TooLarge) {
      this.refuse(sink, head.id, relay.createRefusal(RefusalReason.BodyTooLarge), route.name);
      return;
    }
    this.context.budget.recordCall(serviceName);
    const call: relay.Call = {
      head,
      body: collected.body,
      route,
      account,
      serviceName,
      arrivedAtMs,
      deadlineAtMs: this.deadlineOf(head, route, arrivedAtMs),
      callerGone,
    };
    await this.context.relays[route.kind](call, sink);
    this.noteEnd(call, sink, response);
  }

  private admit(request: http.IncomingMessage, head: relay.CallHead): Admitted | Denied {
    const { view, ports, settings } = this.context;
    const table = view.routingTable;
    if (table === null) return denied(RefusalReason.NoConfiguration, null);
    const { limits } = table.configuration;
    if (headBytesOf(request) > limits.maxHeaderBytes) {
      return denied(RefusalReason.HeadersTooLarge, null);
    }
    const ageMs = view.configurationAgeMs;
    const isDated = ageMs > settings.configurationApplyMs;
    const route = routing.matchRoute(table, head.host, head.target);
    if (route === undefined) {
      return denied(isDated ? RefusalReason.StaleConfiguration : RefusalReason.NoRoute, ageMs);
    }
    const needsKey = table.configuration.accounts !== null && !route.isAnonymous;
    const account = head.apiKey === null ? undefined : table.accountsByKey.get(head.apiKey);
    if (needsKey) {
      const limitMs = settings.revocationMs - constants.REVOCATION_MARGIN_MS;
      if (ageMs > limitMs) return denied(RefusalReason.StaleConfiguration, ageMs);
      if (account === undefined) {
        return denied(isDated ? RefusalReason.StaleConfiguration : RefusalReason.UnknownKey, ageMs);
      }
    }
    if (Number(request.headers["content-length"] ?? 0) > limits.maxBodyBytes) {
      return denied(RefusalReason.BodyTooLarge, null);
    }
    if (this.isTooLate(route)) return denied(RefusalReason.Stopping, null);
    const serviceName = routing.selectService(route, ports.random);
    if (serviceName === undefined) return denied(RefusalReason.NoServer, null);
    return { route, account: account ?? null, serviceName, limits };
  }

  /** What would be cut by the end of the process is left to another VM. */
  private isTooLate(route: routing.Route): boolean {
    const stopsInMs = this.context.stopsInMs();
    if (stopsInMs === null) return false;
    const isGeneration = route.kind === routing.RouteKind.Generation;
    const neededMs = isGeneration ? Infinity : constants.LAST_CALL_MS;
    return stopsInMs < Math.min(route.timeoutMs, neededMs);
  }

  /** When a call is given up: at the caller's or the route's timeout, and before the process ends. */
  private deadlineOf(head: relay.CallHead, route: routing.Route, arrivedAtMs: number): number {
    const timeLeftMs = Math.min(head.timeLeftMs ?? Infinity, route.timeoutMs);
    const stopsInMs = this.context.stopsInMs();
    if (stopsInMs === null) return arrivedAtMs + timeLeftMs;
    const lastMs = Math.max(0, stopsInMs - constants.FINISH_INTERVAL_MS);
    return arrivedAtMs + Math.min(timeLeftMs, lastMs);
  }

  private refuse(
    sink: relay.CallSink,
    requestId: string,
    refusal: relay.Refusal,
    detail: string,
  ): void {
    const { log, meters } = this.context.ports;
    meters.refusals.inc({ reason: refusal.reason });
    log.record(Importance.Notable, LogEvent.RequestRefused, {
      requestId,
      reason: refusal.reason,
      status: refusal.status,
      retryAfterMs: refusal.retryAfterMs,
      detail,
      configurationVersion: this.context.view.routingTable?.configuration.version,
    });
    sink.refuse(refusal);
  }

  private noteEnd(call: relay.Call, sink: relay.CallSink, response: http.ServerResponse): void {
    const { meters } = this.context.ports;
    const { kind } = call.route;
    if (sink.firstByteAtMs !== null) {
      meters.firstByte.observe({ kind }, (sink.firstByteAtMs - call.arrivedAtMs) / 1_000);
    }
    const isWhole = response.writableEnded;
    const outcome = isWhole ? String(response.statusCode) : "broken";
    meters.requests.inc({ kind, outcome });
  }

  private answerMalformed(error: NodeJS.ErrnoException, socket: net.Socket): void {
    const status = MALFORMED_STATUS[error.code ?? ""] ?? "400 Bad Request";
    this.context.ports.log.record(Importance.Notable, LogEvent.MalformedInput, {
      code: error.code ?? error.message,
    });
    const isAnswerable = socket.writable && error.code !== "ECONNRESET";
    if (isAnswerable) {
      socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\nContent-Length: 0\r\n\r\n`);
    } else {
      socket.destroy();
    }
  }
}

/** Answers to what cannot be read as a request, by the parser's code. */
const MALFORMED_STATUS: Readonly<Partial<Record<string, string>>> = {
  HPE_HEADER_OVERFLOW: "431 Request Header Fields Too Large",
  ERR_HTTP_REQUEST_TIMEOUT: "408 Request Timeout",
};

interface Admitted {
  readonly route: routing.Route;
  readonly account: routing.Account | null;
  readonly serviceName: string;
  readonly limits: routing.CallerLimits;
}

interface Denied {
  readonly refusal: relay.Refusal;
  readonly detail: string;
}

const RETRY_AFTER_MS: Readonly<Partial<Record<relay.RefusalReason, number>>> = {
  [RefusalReason.NoConfiguration]: constants.STALE_VIEW_RETRY_AFTER_MS,
  [RefusalReason.StaleConfiguration]: constants.STALE_VIEW_RETRY_AFTER_MS,
  [RefusalReason.Stopping]: relay.STOPPING_RETRY_AFTER_MS,
  [RefusalReason.NoServer]: relay.DEFAULT_RETRY_AFTER_MS,
};

function denied(reason: relay.RefusalReason, viewAgeMs: number | null): Denied {
  const detail = viewAgeMs === null ? "" : `view ${Math.round(Math.min(1e9, viewAgeMs))} ms old`;
  return { refusal: relay.createRefusal(reason, RETRY_AFTER_MS[reason] ?? null), detail };
}

function headBytesOf(request: http.IncomingMessage): number {
  const separatorsBytes = 2 * request.rawHeaders.length;
  const namesAndValues = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return (request.url?.length ?? 0) + namesAndValues + separatorsBytes;
}

/** A signal that is aborted when the caller's connection closes before the answer is out. */
function watchCaller(response: http.ServerResponse): AbortSignal {
  const controller = new AbortController();
  response.once("close", () => {
    if (!response.writableFinished) controller.abort();
  });
  return controller.signal;
}
