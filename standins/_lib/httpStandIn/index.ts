import * as http from "node:http";
import type * as net from "node:net";

import * as hapi from "@hapi/hapi";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as faults from "../../faults/index.js";
import * as scopedClocks from "../scopedClock/index.js";
import * as listeners from "./listener.js";

/** Where a stand-in listens. */
export interface HttpStandInOptions {
  readonly name: string;
  readonly address?: string;
  /** 0, the default, takes any free port; it is kept when the server comes back. */
  readonly port?: number;
}

type FaultHandler = (fault: faults.Fault) => void | Promise<void>;
type HealHandler = () => void | Promise<void>;

const LOOPBACK = "127.0.0.1";

/** A stand-in's HTTP server with the faults that all of them share. */
export abstract class HttpStandIn implements faults.Faultable, AsyncDisposable {
  readonly name: string;
  protected readonly server: hapi.Server;
  private readonly listener: listeners.Listener;
  private slowByMs = 0;
  private answersToLose = 0;
  private stalled: { promise: Promise<void>; release: () => void } | null = null;

  protected readonly faultHandlers: Partial<Record<faults.FaultKind, FaultHandler>> = {
    [faults.FaultKind.Kill]: () => this.listener.close(),
    [faults.FaultKind.Down]: () => this.listener.close(),
    [faults.FaultKind.Silence]: () => this.listener.silence(),
    [faults.FaultKind.Stall]: () => this.stall(),
    [faults.FaultKind.Slow]: (fault) => {
      this.slowByMs = fault.durationMs ?? 0;
    },
    [faults.FaultKind.LoseAnswer]: (fault) => {
      this.answersToLose = fault.count ?? Number.POSITIVE_INFINITY;
    },
  };

  protected readonly healHandlers: Partial<Record<faults.FaultKind, HealHandler>> = {
    [faults.FaultKind.Kill]: () => this.listener.open(),
    [faults.FaultKind.Down]: () => this.listener.open(),
    [faults.FaultKind.Stall]: () => this.stalled?.release(),
    [faults.FaultKind.Slow]: () => {
      this.slowByMs = 0;
    },
    [faults.FaultKind.LoseAnswer]: () => {
      this.answersToLose = 0;
    },
  };

  /** Time for the model behind the server; its timers end with the server. */
  protected readonly clock: scopedClocks.ScopedClock;

  constructor(options: HttpStandInOptions, clock: clocks.Clock) {
    this.name = options.name;
    this.clock = new scopedClocks.ScopedClock(clock);
    const httpServer = http.createServer();
    this.listener = new listeners.Listener(httpServer, options.address ?? LOOPBACK, options.port);
    this.server = hapi.server({ listener: httpServer, autoListen: false });
    this.server.ext("onRequest", async (request, h) => {
      await this.delayRequest(request.raw.req.socket);
      return h.continue;
    });
    this.server.ext("onPreResponse", async (request, h) => {
      await this.delayRequest(request.raw.req.socket);
      if (this.takeLostAnswer(request.method)) request.raw.req.socket.destroy();
      return h.continue;
    });
  }

  /** Base address, e.g. `http://127.0.0.1:40001`. */
  get url(): string {
    return this.listener.url;
  }

  async start(): Promise<void> {
    await this.server.start();
    await this.listener.open();
  }

  async inject(fault: faults.Fault): Promise<void> {
    const handler = this.faultHandlers[fault.fault];
    if (handler === undefined) throw new Error(`${this.name} has no fault ${fault.fault}`);
    await handler(fault);
  }

  async heal(kind: faults.FaultKind): Promise<void> {
    const handler = this.healHandlers[kind];
    if (handler === undefined) throw new Error(`${this.name} cannot heal from ${kind}`);
    await handler();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stalled?.release();
    this.clock[Symbol.dispose]();
    await this.listener.close();
    await this.server.stop({ timeout: 0 });
  }

  private stall(): void {
    if (this.stalled !== null) return;
    let release = (): void => undefined;
    const promise = new Promise<void>((resolve) => {
      release = () => {
        this.stalled = null;
        resolve();
      };
    });
    this.stalled = { promise, release };
  }

  private async delayRequest(socket: net.Socket): Promise<void> {
    if (this.listener.isSilent(socket)) await this.listener.closed(socket);
    if (this.stalled !== null) await this.stalled.promise;
    if (this.slowByMs > 0) await this.clock.sleep(this.slowByMs);
  }

  private takeLostAnswer(method: string): boolean {
    if (method === "get" || this.answersToLose === 0) return false;
    this.answersToLose -= 1;
    return true;
  }
}
