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
import * as peerRelays from "../peerRelay/index.js";
import * as vmGates from "../vmGate/index.js";

/** Where a VM of a scenario listens, kept when it is restarted. */
export interface VmPorts {
  readonly peerPort: number;
  readonly heartbeatPort: number;
}

/** What a VM needs to know of the rest of its scenario. */
export interface VmSurroundings {
  readonly links: linkTables.LinkTable;
  readonly placeOfHeartbeatPort: gatedDatagrams.PlaceOfPort;
  /** Port of the relay that leads from this VM to another. */
  readonly relayPortTo: (vmName: string) => number | undefined;
  readonly settings: settings.SettingsInput;
  readonly randomSeed: number;
}

const LOOPBACK = "127.0.0.1";

/** Shorter times than in production, so that scenarios see failures within seconds. */
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

/** One entry VM of a scenario: a whole daemon in this process, which can be paused and killed. */
export class ScenarioVm implements AsyncDisposable {
  readonly gate = new vmGates.VmGate();
  /** Whether the VM finished everything when it left in order; null while it has not left. */
  hasLeftWhole: boolean | null = null;
  private readonly store = new disposableStore.DisposableStore();
  private daemon: daemons.Daemon | undefined;
  private callerRelay: peerRelays.PeerRelay | undefined;
  private leaving: Promise<void> | undefined;

  constructor(
    readonly place: linkTables.Place,
    private readonly surroundings: VmSurroundings,
  ) {}

  get isRunning(): boolean {
    return this.daemon !== undefined && !this.gate.isDead && this.hasLeftWhole === null;
  }

  /** Where callers reach the VM; they wait there while it is paused. */
  get callerUrl(): string {
    return `http://${LOOPBACK}:${this.callerRelay?.port ?? 0}`;
  }

  get adminUrl(): string {
    return this.running().adminUrl;
  }

  running(): daemons.Daemon {
    if (this.daemon === undefined) throw new Error(`${this.place.name} was not started`);
    return this.daemon;
  }

  async start(): Promise<void> {
    const { settings: input, randomSeed } = this.surroundings;
    const text = JSON.stringify(input);
    const options = settings.parseSettings(text, `${this.place.name}.yaml`);
    if (options.isErr()) throw new Error(settings.formatSettingsErrors(options.error));
    const daemon = await daemons.createDaemon(options.value, {
      clock: new pausableClocks.PausableClock(new clocks.SystemClock(), this.gate),
      randomSeed,
      membership: FAST_MEMBERSHIP,
      wrappers: this.createWrappers(),
    });
    this.daemon = this.store.add(daemon);
    const callerPort = Number(new URL(daemon.callerUrl).port);
    this.callerRelay = this.store.add(new peerRelays.PeerRelay(callerPort, this.callerPolicy()));
    await this.callerRelay.open();
  }

  /** Ends the VM at once, without a word to anyone. */
  async kill(): Promise<void> {
    this.gate.kill();
    this.callerRelay?.breakConnections();
    await this.store[Symbol.asyncDispose]();
  }

  /** Begins to leave in order; the VM is gone when that has ended. */
  leave(): void {
    this.leaving ??= this.leaveInOrder();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.kill();
  }

  private async leaveInOrder(): Promise<void> {
    const isWhole = await this.running().leave();
    await this.store[Symbol.asyncDispose]();
    this.hasLeftWhole = isWhole;
  }

  private callerPolicy(): peerRelays.RelayPolicy {
    return { isOpen: () => !this.gate.isDead, pass: () => this.gate.pass() };
  }

  private createWrappers(): NonNullable<daemons.DaemonOverrides["wrappers"]> {
    const { links, placeOfHeartbeatPort, relayPortTo } = this.surroundings;
    const link: gatedPlatform.PlatformLink = { self: this.place, gate: this.gate, links };
    return {
      logService: (inner) => new gatedPlatform.GatedLogService(inner, link),
      vmList: (inner) => new gatedPlatform.GatedVmList(inner, link),
      engineClients: (inner) => new gatedEngines.GatedEngineClients(inner, link),
      serviceClients: (inner) => new gatedServices.GatedServiceClients(inner, link),
      datagramSocket: (inner) =>
        new gatedDatagrams.GatedDatagramSocket(inner, link, placeOfHeartbeatPort),
      peerDirectory: () => ({
        endpointOf: (vmName) => {
          const port = relayPortTo(vmName);
          return port === undefined ? undefined : { address: LOOPBACK, port };
        },
      }),
    };
  }
}

/** Hash under which the settings and the catalogue hold a key of a scenario. */
export function hashOfKey(key: string): string {
  return crypto.createHash("sha256").update(key).digest("hex");
}
