import * as http from "node:http";
import type * as net from "node:net";

import * as crashes from "../../crashes/index.js";
import * as diagnostics from "../../diagnostics/index.js";
import * as relay from "../../relay/index.js";
import * as routing from "../../routing/index.js";
import * as admissions from "../_lib/admitCall/index.js";
import * as answerErrors from "../_lib/answerErrors/index.js";
import * as closeQueuedAnswers from "../_lib/closeQueuedAnswer/index.js";
import * as callCounts from "../_lib/countCall/index.js";
import * as connectionOrders from "../_lib/connectionOrder/index.js";
import * as disconnectSignals from "../_lib/createDisconnectSignal/index.js";
import * as callerBodies from "../_lib/readCallerBody/index.js";
import * as discardedBodies from "../_lib/discardBody/index.js";
import * as headLimits from "../_lib/headLimits/index.js";
import * as listening from "../../processes/listenWhenFree/index.js";
import * as pendingAnswers from "../_lib/pendingAnswers/index.js";
import * as shutdownAdmissions from "../_lib/shutdownAdmission/index.js";
import * as constants from "../constants.js";
import type * as currentView from "../currentView/index.js";
import type * as types from "../types.js";

const { Importance, LogEvent } = diagnostics;
const { RefusalReason } = relay;

/** Relays a call of one route kind and answers its caller. */
type Relay = (call: relay.Call, sink: relay.CallSink) => Promise<void>;

/** Dependencies of the server. */
export interface CallerServerContext {
  readonly settings: types.GatewaySettings;
  readonly ports: types.GatewayPorts;
  readonly view: currentView.CurrentView;
  readonly budget: relay.RetryBudget;
  readonly relays: Readonly<Record<routing.RouteKind, Relay>>;
  /** Returns the milliseconds until this VM stops; null if it is not stopping. */
  readonly getTimeToStopMs: () => number | null;
  /** Aborted when this VM is about to close its callers' connections. */
  readonly vmClosing: AbortSignal;
}

/** HTTP server for callers: admits or refuses their calls, and passes admitted calls to a relay. */
export class CallerServer implements AsyncDisposable {
  private readonly server: http.Server;
  private readonly shutdown: shutdownAdmissions.ShutdownAdmission;
  private readonly order = new connectionOrders.ConnectionOrder();
  private readonly headLimits: headLimits.HeadLimits;
  private readonly pendingAnswers = new pendingAnswers.PendingAnswers();
  private activeCount = 0;

  constructor(private readonly context: CallerServerContext) {
    this.shutdown = new shutdownAdmissions.ShutdownAdmission(context);
    this.server = http.createServer({ keepAlive: true, noDelay: true }, (request, response) => {
      this.handle(request, response).catch((error: unknown) =>
        answerErrors.answerInternalError(context.ports, error, request, response),
      );
    });
    this.headLimits = new headLimits.HeadLimits(this.server);
    this.server.headersTimeout = constants.DEFAULT_HEADER_TIMEOUT_MS;
    this.server.requestTimeout = 0;
    this.server.keepAliveTimeout = constants.DEFAULT_IDLE_TIMEOUT_MS + constants.IDLE_MARGIN_MS;
    this.server.on("clientError", (error: NodeJS.ErrnoException, socket: net.Socket) =>
      answerErrors.answerMalformed(context.ports, error, socket, this.pendingAnswers),
    );
  }

  /** The HTTP server, whose connections are to be bounded. */
  get listener(): http.Server {
    return this.server;
  }

  /** Number of calls in progress. */
  get activeCallsCount(): number {
    return this.activeCount;
  }

  /** Refuses calls whose bodies are still on their way, and that can no longer end before this VM stops. */
  refuseLateBodies(): void {
    this.shutdown.refuseLateBodies();
  }

  /** Starts to accept connections as soon as the address is free; rejects if `signal` is aborted before. */
  async listen(address: types.ListenAddress, signal: AbortSignal): Promise<void> {
    const options = { ...this.context.ports, signal, part: "callers" };
    await listening.listenWhenFree(this.server, { ...address, backlog: 1_024 }, options);
  }

  /** Applies a configuration's timeouts to connections. */
  applyLimits(limits: routing.CallerLimits): void {
    this.headLimits.apply(limits.maxHeaderBytes);
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs + constants.IDLE_MARGIN_MS;
  }

  /**
   * Waits until all calls in progress are answered or the deadline passes, then stops accepting connections and
   * closes all of them.
   *
   * @param deadlineAtMs - on this VM's monotonic clock
   * @returns the number of calls that were interrupted at the deadline
   */
  async finish(deadlineAtMs: number): Promise<number> {
    const { clock } = this.context.ports;
    // Node takes a connection for idle whose answer is complete but not yet read by its caller, and would cut it off.
    while (this.activeCount > 0 && clock.nowMs() < deadlineAtMs) {
      await clock.sleep(constants.DRAIN_CHECK_INTERVAL_MS);
    }
    // Runs in the same event loop turn as the count, so that no call arrives in between.
    const cutCount = this.activeCount;
    this.server.close();
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
    const { socket } = request;
    // Its answer could not be sent, so that it must not run.
    if (!this.order.add(socket, request)) return;
    const arrivedAtMs = clock.nowMs();
    if (this.headLimits.wasRaisedFor(socket)) response.shouldKeepAlive = false;
    this.activeCount += 1;
    this.pendingAnswers.add(request, response);
    closeQueuedAnswers.closeQueuedAnswer(socket, response);
    response.once("close", () => {
      this.activeCount -= 1;
    });
    callCounts.countCall(this.context.ports.bytes, request, response);
    const decoded = this.context.ports.codec.decodeCall(request);
    const sink = new relay.CallSink(
      response,
      this.context.ports.codec,
      decoded.isOk() ? decoded.value.id : "",
      () => clock.nowMs(),
      () => this.context.getTimeToStopMs() !== null && this.order.close(socket, request),
      this.context.ports,
    );
    if (decoded.isErr()) {
      const { refusal } = admissions.createDenial(RefusalReason.Malformed);
      this.refuse(sink, "", refusal, decoded.error);
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
    const callerDisconnected = disconnectSignals.createDisconnectSignal(response);
    const admitted = admissions.admitCall(
      { ...this.context, shutdown: this.shutdown },
      request,
      head,
    );
    if ("refusal" in admitted) {
      const received = discardedBodies.discardBody(this.context.ports.clock, request);
      this.refuse(sink, head.id, admitted.refusal, admitted.detail, received);
      return;
    }
    const { route, account, serviceName, limits } = admitted;
    const { refusal } = admissions.createDenial(RefusalReason.Stopping);
    const refuseStopping = (): void => {
      if (!sink.hasStarted) this.refuse(sink, head.id, refusal, route.name);
    };
    const progress = this.shutdown.begin(head.id, route, arrivedAtMs, refuseStopping);
    response.once("close", () => this.shutdown.end(progress, sink.sentStatus));
    const collected = await callerBodies.readCallerBody(this.context.ports, request, response, {
      requestId: head.id,
      maxBytes: limits.maxBodyBytes,
      deadlineAtMs: arrivedAtMs + computeTimeLimit(head, route),
    });
    if (collected.end === relay.BodyEnd.Truncated || sink.hasStarted) return;
    const reason = callerBodies.REFUSAL_BY_BODY_END[collected.end];
    if (reason !== undefined) {
      // What is left of a late body may never arrive.
      if (collected.end === relay.BodyEnd.Late) response.shouldKeepAlive = false;
      const received = discardedBodies.discardBody(this.context.ports.clock, request);
      this.refuse(sink, head.id, admissions.createDenial(reason).refusal, route.name, received);
      return;
    }
    progress.receivedAtMs = this.context.ports.clock.nowMs();
    if (this.shutdown.isTooLate(route)) {
      refuseStopping();
      return;
    }
    this.context.budget.recordCall(serviceName);
    const { body } = collected;
    const accountName = account?.name ?? null;
    const partIds = head.generation?.promptPartIds ?? [];
    const routeServiceNames = route.shares.map((share) => share.serviceName);
    const fingerprint = crashes.createFingerprint({ ...head, accountName, body });
    const call: relay.Call = {
      head,
      body,
      route,
      account,
      serviceName,
      arrivedAtMs,
      deadlineAtMs: this.computeDeadline(head, route, arrivedAtMs),
      callerDisconnected,
      vmClosing: this.context.vmClosing,
      canEndInTime: () => !this.shutdown.isTooLate(route),
      suspects: crashes.listSuspects({ serviceName, routeServiceNames }, fingerprint, partIds),
    };
    await this.context.relays[route.kind](call, sink);
    this.recordEnd(call, sink, response.statusCode);
  }

  /** Returns the earliest of the caller's timeout, the route's timeout and this VM's shutdown. */
  private computeDeadline(head: relay.CallHead, route: routing.Route, arrivedAtMs: number): number {
    const timeLeftMs = computeTimeLimit(head, route);
    const timeToStopMs = this.context.getTimeToStopMs();
    if (timeToStopMs === null) return arrivedAtMs + timeLeftMs;
    const usableMs = Math.max(0, timeToStopMs - constants.DRAIN_CHECK_INTERVAL_MS);
    // The body may have taken a while, which the time to the stop no longer includes.
    return Math.min(arrivedAtMs + timeLeftMs, this.context.ports.clock.nowMs() + usableMs);
  }

  private refuse(
    sink: relay.CallSink,
    requestId: string,
    refusal: relay.Refusal,
    detail: string,
    received: Promise<void> | null = null,
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
    sink.refuse(refusal, received);
  }

  private recordEnd(call: relay.Call, sink: relay.CallSink, statusCode: number): void {
    const { meters } = this.context.ports;
    const { kind } = call.route;
    if (sink.firstByteAtMs !== null) {
      meters.firstByte.observe({ kind }, (sink.firstByteAtMs - call.arrivedAtMs) / 1_000);
    }
    const outcome = sink.isComplete ? String(statusCode) : "broken";
    meters.requests.inc({ kind, outcome });
  }
}

/** Returns the shorter of the caller's timeout and the route's timeout, in milliseconds from the arrival on. */
function computeTimeLimit(head: relay.CallHead, route: routing.Route): number {
  return Math.min(head.timeLeftMs ?? Infinity, route.timeoutMs);
}
