import * as crypto from "node:crypto";

import * as clocks from "../../../src/_lib/clock/index.js";
import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as daemons from "../../../src/daemon/index.js";
import * as settings from "../../../src/settings/index.js";
import * as gatedDatagrams from "../gatedDatagrams/index.js";
import * as gatedEngines from "../gatedEngines/index.js";
import * as gatedPlatform from "../gatedPlatform/index.js";
import * as gatedServices from "../gatedServices/index.js";
import type * as linkTables from "../linkTable/index.js";
import * as pausableClocks from "../pausableClock/index.js";
import * as tcpProxies from "../tcpProxy/index.js";
import * as vmGates from "../vmGate/index.js";

/** The ports of a VM, which stay the same when it is restarted. */
export interface VmPorts {
  readonly peerPort: number;
  readonly heartbeatPort: number;
}

/** The parts of a scenario on which a VM depends. */
export interface VmDependencies {
  readonly links: linkTables.LinkTable;
  readonly findPartyByHeartbeatPort: gatedDatagrams.FindPartyByPort;
  /** Finds the port of the proxy from this VM to another VM. */
  readonly proxyPortTo: (vmName: string) => number | undefined;
  readonly settings: settings.SettingsInput;
  readonly randomSeed: number;
}

const LOOPBACK = "127.0.0.1";

/** Shorter times than in production, so that failures are detected within seconds. */
const FAST_MEMBERSHIP = {
  heartbeatIntervalMs: 100,
  ackTimeoutMs: 60,
  suspicionMs: 700,
  relayIntervalMs: 200,
  dataCentreSilenceMs: 1_500,
  dataCentreSilencePerDataCentreMs: 200,
  pauseThresholdMs: 800,
  joinTimeoutMs: 1_500,
};

/** An entry VM of a scenario: a complete daemon in this process that can be paused and killed. */
export class ScenarioVm implements AsyncDisposable {
  readonly gate = new vmGates.VmGate();
  /** Whether the VM had finished all its work when it left; null while it has not left. */
  hasFinishedAllWork: boolean | null = null;
  private readonly store = new disposableStore.DisposableStore();
  private daemon: daemons.Daemon | undefined;
  private callerProxy: tcpProxies.TcpProxy | undefined;
  private leaving: Promise<void> | undefined;

  constructor(
    readonly party: linkTables.Party,
    private readonly dependencies: VmDependencies,
  ) {}

  get isRunning(): boolean {
    return this.daemon !== undefined && !this.gate.isDead && this.hasFinishedAllWork === null;
  }

  /** URL of the proxy to the caller port; the proxy holds all bytes back while the VM is paused. */
  get callerUrl(): string {
    return `http://${LOOPBACK}:${this.callerProxy?.port ?? 0}`;
  }

  get adminUrl(): string {
    return this.getDaemon().adminUrl;
  }

  /** Returns the daemon; throws an Error if the VM has not been started. */
  getDaemon(): daemons.Daemon {
    if (this.daemon === undefined) throw new Error(`VM ${this.party.name} has not been started`);
    return this.daemon;
  }

  /** Starts the daemon and the proxy to its caller port. */
  async start(): Promise<void> {
    const { settings: input, randomSeed } = this.dependencies;
    const text = JSON.stringify(input);
    const options = settings.parseSettings(text, `${this.party.name}.yaml`);
    if (options.isErr()) throw new Error(settings.formatSettingsErrors(options.error));
    const daemon = await daemons.createDaemon(options.value, {
      clock: new pausableClocks.PausableClock(new clocks.SystemClock(), this.gate),
      randomSeed,
      membership: FAST_MEMBERSHIP,
      wrappers: this.createWrappers(),
    });
    this.daemon = this.store.add(daemon);
    const callerPort = Number(new URL(daemon.callerUrl).port);
    this.callerProxy = this.store.add(
      new tcpProxies.TcpProxy(callerPort, this.createCallerProxyPolicy()),
    );
    await this.callerProxy.open();
  }

  /** Kills the VM immediately; other VMs receive no leave message. */
  async kill(): Promise<void> {
    this.gate.kill();
    this.callerProxy?.breakConnections();
    await this.store[Symbol.asyncDispose]();
  }

  /** Starts a graceful leave, after which the VM is stopped. */
  leave(): void {
    this.leaving ??= this.leaveGracefully();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
  }

  private async leaveGracefully(): Promise<void> {
    const hasFinished = await this.getDaemon().leave();
    await this.store[Symbol.asyncDispose]();
    this.hasFinishedAllWork = hasFinished;
  }

  private createCallerProxyPolicy(): tcpProxies.ProxyPolicy {
    return {
      isOpen: () => !this.gate.isDead,
      waitUntilResumed: () => this.gate.waitUntilResumed(),
    };
  }

  private createWrappers(): NonNullable<daemons.DaemonOverrides["wrappers"]> {
    const { links, findPartyByHeartbeatPort, proxyPortTo } = this.dependencies;
    const link: gatedPlatform.VmLinks = { self: this.party, gate: this.gate, links };
    return {
      logService: (inner) => new gatedPlatform.GatedLogService(inner, link),
      vmList: (inner) => new gatedPlatform.GatedVmList(inner, link),
      engineClients: (inner) => new gatedEngines.GatedEngineClients(inner, link),
      serviceClients: (inner) => new gatedServices.GatedServiceClients(inner, link),
      datagramSocket: (inner) =>
        new gatedDatagrams.GatedDatagramSocket(inner, link, findPartyByHeartbeatPort),
      peerDirectory: () => ({
        findEndpoint: (vmName) => {
          const port = proxyPortTo(vmName);
          return port === undefined ? undefined : { address: LOOPBACK, port };
        },
      }),
    };
  }
}

/** Returns the SHA-256 hash of a key in hex, as the settings and the catalogue store it. */
export function hashKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex");
}
