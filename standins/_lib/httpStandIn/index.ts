import * as http from "node:http";
import type * as net from "node:net";

import * as hapi from "@hapi/hapi";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as faults from "../../faults/index.js";
import * as scopedClocks from "../scopedClock/index.js";
import * as listeners from "./listener.js";

/** Name and listening address of a stand-in's HTTP server. */
export interface HttpStandInOptions {
  readonly name: string;
  /** Listening address, by default 127.0.0.1. */
  readonly address?: string;
  /** 0, the default, selects any free port; the port stays the same when the server reopens. */
  readonly port?: number;
}

type FaultHandler = (fault: faults.Fault) => void | Promise<void>;
type HealHandler = () => void | Promise<void>;

const LOOPBACK = "127.0.0.1";

const SPOILED_ANSWER = "HTTP/1.1 000 Odd\r\nContent-Length: 2\r\n\r\n{}";

/** Base class of the stand-ins' HTTP servers, with the faults that all of them support. */
export abstract class HttpStandIn implements faults.Faultable, AsyncDisposable {
  readonly name: string;
  protected readonly server: hapi.Server;
  private readonly listener: listeners.Listener;
  private extraLatencyMs = 0;
  /** Answers that are still to be lost or spoiled, to requests other than GET. */
  private readonly answersToHarm = new Map<faults.FaultKind, number>();
  private activeStall: { promise: Promise<void>; release: () => void } | null = null;

  protected readonly faultHandlers: Partial<Record<faults.FaultKind, FaultHandler>> = {
    [faults.FaultKind.Kill]: () => this.listener.close(),
    [faults.FaultKind.Down]: () => this.listener.close(),
    [faults.FaultKind.Silence]: () => this.listener.silence(),
    [faults.FaultKind.Stall]: () => this.stall(),
    [faults.FaultKind.Slow]: (fault) => {
      this.extraLatencyMs = fault.durationMs ?? 0;
    },
    [faults.FaultKind.LoseAnswer]: (fault) => this.harmAnswers(fault),
    [faults.FaultKind.SpoilStatus]: (fault) => this.harmAnswers(fault),
  };

  protected readonly healHandlers: Partial<Record<faults.FaultKind, HealHandler>> = {
    [faults.FaultKind.Kill]: () => this.listener.open(),
    [faults.FaultKind.Down]: () => this.listener.open(),
    [faults.FaultKind.Stall]: () => this.activeStall?.release(),
    [faults.FaultKind.Slow]: () => {
      this.extraLatencyMs = 0;
    },
    [faults.FaultKind.LoseAnswer]: () => {
      this.answersToHarm.delete(faults.FaultKind.LoseAnswer);
    },
    [faults.FaultKind.SpoilStatus]: () => {
      this.answersToHarm.delete(faults.FaultKind.SpoilStatus);
    },
  };

  /** Clock of the model behind the server; disposing of the server cancels its timers, but not its sleeps. */
  protected readonly clock: scopedClocks.ScopedClock;

  constructor(options: HttpStandInOptions, clock: clocks.Clock) {
    this.name = options.name;
    this.clock = new scopedClocks.ScopedClock(clock);
    const httpServer = http.createServer();
    this.listener = new listeners.Listener(httpServer, options.address ?? LOOPBACK, options.port);
    this.server = hapi.server({ listener: httpServer, autoListen: false });
    this.server.ext("onRequest", async (request, h) => {
      await this.applyDelayFaults(request.raw.req.socket);
      return h.continue;
    });
    this.server.ext("onPreResponse", async (request, h) => {
      await this.applyDelayFaults(request.raw.req.socket);
      const { method, raw } = request;
      if (this.consumeHarm(faults.FaultKind.LoseAnswer, method)) raw.req.socket.destroy();
      if (this.consumeHarm(faults.FaultKind.SpoilStatus, method))
        raw.req.socket.end(SPOILED_ANSWER);
      return h.continue;
    });
  }

  /** Base address, e.g. `http://127.0.0.1:40001`. */
  get url(): string {
    return this.listener.url;
  }

  /** Starts the server and listens; rejects if the port is in use. */
  async start(): Promise<void> {
    await this.server.start();
    await this.listener.open();
  }

  /** Injects a fault; rejects if this stand-in does not support it. */
  async inject(fault: faults.Fault): Promise<void> {
    const handler = this.faultHandlers[fault.fault];
    if (handler === undefined)
      throw new Error(`stand-in ${this.name} does not support fault ${fault.fault}`);
    await handler(fault);
  }

  /** Ends a fault; rejects if this stand-in cannot heal it. */
  async heal(kind: faults.FaultKind): Promise<void> {
    const handler = this.healHandlers[kind];
    if (handler === undefined) throw new Error(`stand-in ${this.name} cannot heal fault ${kind}`);
    await handler();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.activeStall?.release();
    this.clock[Symbol.dispose]();
    await this.listener.close();
    await this.server.stop({ timeout: 0 });
  }

  private stall(): void {
    if (this.activeStall !== null) return;
    let release = (): void => undefined;
    const promise = new Promise<void>((resolve) => {
      release = () => {
        this.activeStall = null;
        resolve();
      };
    });
    this.activeStall = { promise, release };
  }

  /** Delays a request or an answer as the injected faults demand; on a silenced connection, until it is closed. */
  private async applyDelayFaults(socket: net.Socket): Promise<void> {
    if (this.listener.isSilenced(socket)) await this.listener.waitUntilClosed(socket);
    if (this.activeStall !== null) await this.activeStall.promise;
    if (this.extraLatencyMs > 0) await this.clock.sleep(this.extraLatencyMs);
  }

  private harmAnswers({ fault, count = Number.POSITIVE_INFINITY }: faults.Fault): void {
    this.answersToHarm.set(fault, count);
  }

  /** Returns whether to harm this answer, and counts it; answers to GET are never harmed. */
  private consumeHarm(fault: faults.FaultKind, method: string): boolean {
    const count = this.answersToHarm.get(fault) ?? 0;
    if (method === "get" || count === 0) return false;
    this.answersToHarm.set(fault, count - 1);
    return true;
  }
}
