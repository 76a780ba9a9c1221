import * as backendServers from "../../../../standins/platform/backendServer/index.js";
import type * as gatewayFleets from "../../../../standins/platform/gatewayFleet/index.js";

/** Time after a crash until the server's entry is removed, and until a server replaces it. */
const LAPSE_MS = 500;
const DOWN_MS = 900;

/** Which calls crash the servers of a service, and what the servers do. */
export interface CrashScript {
  readonly serviceName: string;
  readonly isCrashing: (call: backendServers.ReceivedCall) => boolean;
  readonly crash: backendServers.Behaviour;
  readonly serve: backendServers.Behaviour;
}

/** A crash of a server. */
export interface Crash {
  readonly atMs: number;
  /** The attempt under which the server crashed. */
  readonly callId: string;
}

/** The servers of one service, which crash under some calls and come back with a new id. */
export class CrashingServers {
  /** Arrivals of calls that crash servers, also if they are refused. */
  readonly arrivalsAtMs: number[] = [];
  readonly crashes: Crash[] = [];
  private readonly crashedIds = new Set<string>();
  private readonly refuse = backendServers.refuse();
  private startsCount = 0;

  constructor(
    private readonly fleet: gatewayFleets.GatewayFleet,
    private readonly script: CrashScript,
  ) {}

  /** Starts the servers. */
  async start(serversCount: number): Promise<void> {
    for (let index = 0; index < serversCount; index += 1) {
      await this.fleet.addServer(this.createId(), this.script.serviceName, this.behaviour);
    }
  }

  private readonly behaviour: backendServers.Behaviour = async (call, response, server) => {
    const isCrashing = this.script.isCrashing(call);
    if (isCrashing) this.arrivalsAtMs.push(performance.now());
    // A run that crashed its engine at the start has no backup to continue from.
    if (call.headers["kv-from"] !== undefined) return this.refuse(call, response, server);
    if (!isCrashing) return this.script.serve(call, response, server);
    await this.script.crash(call, response, server);
    if (this.crashedIds.has(server.id)) return;
    this.crashedIds.add(server.id);
    this.crashes.push({ atMs: performance.now(), callId: call.id });
    await this.fleet.replaceCrashedServer(server, {
      id: this.createId(),
      serviceName: this.script.serviceName,
      behaviour: this.behaviour,
      lapseMs: LAPSE_MS,
      downMs: DOWN_MS,
    });
  };

  private createId(): string {
    this.startsCount += 1;
    return `${this.script.serviceName}-${this.startsCount}`;
  }
}

/** Makes calls in a regular interval until it is disposed of. */
export class Traffic implements Disposable {
  readonly answers: Promise<{ readonly sentAtMs: number; readonly isServed: boolean }>[] = [];
  private readonly timer: NodeJS.Timeout;

  /**
   * @param send - makes the call with the given number
   */
  constructor(
    intervalMs: number,
    private readonly send: (index: number) => Promise<gatewayFleets.CallerAnswer>,
  ) {
    this.timer = setInterval(() => this.answers.push(this.makeCall()), intervalMs);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  private async makeCall(): Promise<{ readonly sentAtMs: number; readonly isServed: boolean }> {
    const sentAtMs = performance.now();
    const answer = await this.send(this.answers.length).catch(() => null);
    return { sentAtMs, isServed: answer?.status === 200 && answer.isComplete };
  }
}
