import * as decodeConfigurations from "../../../platform/decodeConfiguration/index.js";
import * as decodeEvacuations from "../../../platform/decodeEvacuation/index.js";
import * as decodeServerEntries from "../../../platform/decodeServerEntry/index.js";
import * as engineControls from "../../../platform/engineControl/index.js";
import * as logStores from "../../../platform/logStore/index.js";
import * as names from "../../../platform/names/index.js";
import * as wireCodecs from "../../../platform/wireCodec/index.js";
import * as byteBudgets from "../../../src/_lib/byteBudget/index.js";
import * as clocks from "../../../src/_lib/clock/index.js";
import * as disposableStore from "../../../src/_lib/disposableStore/index.js";
import * as randoms from "../../../src/_lib/random/index.js";
import * as diagnostics from "../../../src/diagnostics/index.js";
import * as fleet from "../../../src/fleet/index.js";
import * as gateways from "../../../src/gateway/index.js";
import * as freePorts from "../../freePorts/index.js";
import * as backendServers from "../backendServer/index.js";
import * as callerRequests from "../callerRequest/index.js";
import * as gatewayConfigurations from "../gatewayConfiguration/index.js";
import * as serverNetworks from "../serverNetwork/index.js";
import * as platformLogStores from "../logStore/index.js";

/** Requests that a server runs at a time, unless a test says otherwise. */
const DEFAULT_SLOTS_COUNT = 24;

const DEFAULT_RETRY_SLACK_COUNT = 50;

const DEFAULT_MAX_HELD_BYTES = 40 * 1024 * 1024;

const DEFAULT_MAX_SOCKETS_COUNT = 3_900;

/** Data centre of gateways and servers, unless a test says otherwise. */
const DEFAULT_DATA_CENTRE = "dc-a";

export * from "../callerRequest/index.js";
export { ENGINE_SERVICE, PLAIN_SERVICE } from "../gatewayConfiguration/index.js";

/** A decision log that keeps its records in memory for tests. */
export class RecordingLog implements diagnostics.DecisionLog {
  readonly lines: {
    readonly event: diagnostics.LogEvent;
    readonly fields: diagnostics.LogFields;
  }[] = [];

  record(
    _importance: diagnostics.Importance,
    event: diagnostics.LogEvent,
    fields: diagnostics.LogFields,
  ): void {
    this.lines.push({ event, fields });
  }
}

/** Gateways on loopback, with stand-ins for the platform's store and the backend servers. */
export class GatewayFleet implements AsyncDisposable {
  readonly store = new platformLogStores.PlatformLogStore();
  readonly log = new RecordingLog();
  /** The network between the gateways and the backend servers. */
  readonly network = new serverNetworks.ServerNetwork();
  readonly gateways: gateways.Gateway[] = [];
  /** Data centres of servers, by id, where they are not the default one. */
  readonly dataCentres = new Map<string, string>();
  /** Retries in a window that the fleet may spend whatever its traffic; applies to gateways added later. */
  retrySlackCount = DEFAULT_RETRY_SLACK_COUNT;
  /** Bytes that a gateway may hold for outside parties; applies to gateways added later. */
  maxHeldBytes = DEFAULT_MAX_HELD_BYTES;
  /** Time within which a gateway that is told to stop has to end; applies to gateways added later. */
  graceMs = 4_000;
  /** Sockets that a gateway may have open; applies to gateways added later. */
  maxSocketsCount = DEFAULT_MAX_SOCKETS_COUNT;
  /** What configurations state of the service with model engines, besides what they always do. */
  engineServiceFields: Readonly<Record<string, unknown>> = {};
  private readonly silentVms = new Set<string>();
  private readonly settings: gateways.GatewaySettings[] = [];
  private readonly resources = new disposableStore.DisposableStore();
  private version = 0;
  private sequence = 0;
  private isDisposed = false;

  /** Starts the platform's store. */
  async start(): Promise<void> {
    await this.store.start();
    await this.network.start();
    this.resources.add(this.store);
  }

  /** Starts a backend server and registers it as ready. */
  async addServer(
    id: string,
    serviceName: string,
    behaviour: backendServers.Behaviour,
    slotsCount = DEFAULT_SLOTS_COUNT,
  ): Promise<backendServers.BackendServer> {
    const server = new backendServers.BackendServer(id);
    await server.start();
    server.setBehaviour(behaviour);
    this.resources.add(server);
    if (this.isDisposed) await server[Symbol.asyncDispose]();
    else this.register(server, serviceName, "ready", slotsCount);
    return server;
  }

  /**
   * Removes the entry of a crashed server after a while, and later starts a server with a new id in
   * its place, unless the fleet is disposed of meanwhile.
   */
  async replaceCrashedServer(
    crashed: backendServers.BackendServer,
    replacement: {
      readonly id: string;
      readonly serviceName: string;
      readonly behaviour: backendServers.Behaviour;
      readonly lapseMs: number;
      readonly downMs: number;
    },
  ): Promise<void> {
    const { id, serviceName, behaviour, lapseMs, downMs } = replacement;
    await pause(lapseMs);
    this.store.put(names.TOPIC_NAMES.servers, crashed.id, null);
    await pause(Math.max(0, downMs - lapseMs));
    if (!this.isDisposed) await this.addServer(id, serviceName, behaviour);
  }

  /** Writes a server's registration to the store. */
  register(
    server: backendServers.BackendServer,
    service: string,
    state: string,
    slotsCount = DEFAULT_SLOTS_COUNT,
  ): void {
    this.registerAddress(server.id, service, server.port, { state, slots: slotsCount });
  }

  /** Writes the registration of a server that listens at a port. */
  registerAddress(
    id: string,
    service: string,
    port: number,
    fields: {
      readonly state?: string;
      readonly slots?: number;
      readonly cold_remaining_ms?: number;
      readonly born?: number;
    } = {},
  ): void {
    this.sequence += 1;
    this.store.put(names.TOPIC_NAMES.servers, id, {
      service,
      address: `127.0.0.1:${port}`,
      zone: this.dataCentres.get(id) ?? DEFAULT_DATA_CENTRE,
      version: "v1",
      slots: DEFAULT_SLOTS_COUNT,
      state: "ready",
      cold_remaining_ms: 0,
      born: 1_000,
      ...fields,
      sequence: this.sequence,
    });
  }

  /** Writes a new configuration version with the default routes; `overrides` replaces its top-level fields. */
  configure(overrides: Readonly<Record<string, unknown>> = {}): void {
    this.version += 1;
    const defaults = gatewayConfigurations.createConfiguration(this.engineServiceFields);
    const record = { version: this.version, ...defaults, ...overrides };
    this.store.put(names.TOPIC_NAMES.configuration, names.CONFIGURATION_KEY, record);
  }

  /** Starts a gateway and waits until it listens; it may not be ready yet. */
  async addGateway(dataCentre = DEFAULT_DATA_CENTRE): Promise<gateways.Gateway> {
    const settings = await this.createSettings(`vm-${this.gateways.length + 1}`, dataCentre);
    const clock = new clocks.SystemClock();
    const bytes = new byteBudgets.ByteBudget(this.maxHeldBytes);
    const store = new logStores.LogStore({ host: "127.0.0.1", port: this.store.port }, bytes);
    const socket = this.resources.add(await fleet.UdpSocket.open("127.0.0.1", settings.peers.port));
    const gateway = new gateways.Gateway(settings, {
      clock,
      random: randoms.createRandom(this.gateways.length + 1),
      store,
      registry: store,
      archive: store,
      codec: wireCodecs.WIRE_CODEC,
      control: this.resources.add(new engineControls.HttpEngineControl(bytes)),
      decoder: {
        decodeConfiguration: decodeConfigurations.decodeConfiguration,
        decodeEvacuation: decodeEvacuations.decodeEvacuation,
        decodeServer: decodeServerEntries.decodeServerEntry,
      },
      dial: this.network.dialFrom(settings.vmName),
      socket: {
        send: (bytes, host, port) => {
          if (!this.silentVms.has(settings.vmName)) socket.send(bytes, host, port);
        },
        onMessage: (listener) => socket.onMessage(listener),
        [Symbol.asyncDispose]: () => socket[Symbol.asyncDispose](),
      },
      log: this.log,
      meters: new diagnostics.Meters(),
      bytes,
    });
    this.resources.add(store);
    await gateway.start();
    this.resources.add(gateway);
    this.gateways.push(gateway);
    this.settings.push(settings);
    return gateway;
  }

  /** Loses all datagrams that a gateway, by index, sends to the others from now on. */
  silencePeers(index: number): void {
    this.silentVms.add(this.settings[index]?.vmName ?? "");
  }

  /** Whether the readiness endpoint of a gateway, by index, answers with 200. */
  async isReady(index = 0): Promise<boolean> {
    const port = this.settings[index]?.readiness.port ?? 0;
    const answer = await callerRequests.sendRequest(port, { path: "/readyz", apiKey: null });
    return answer.status === 200;
  }

  /** Sends a request to a gateway; resolves when the answer ends or its connection breaks, rejects if none begins. */
  call(options: callerRequests.CallerRequest, index = 0): Promise<callerRequests.CallerAnswer> {
    return callerRequests.sendRequest(this.settings[index]?.callers.port ?? 0, options);
  }

  /** Returns the port on which a gateway accepts callers' requests. */
  callersPort(index = 0): number {
    return this.settings[index]?.callers.port ?? 0;
  }

  /** Returns the port on which a gateway accepts the other gateways' requests. */
  peersPort(index = 0): number {
    return this.settings[index]?.peers.port ?? 0;
  }

  /** Returns the address at which a gateway answers its operators. */
  operatorsAddress(index = 0): string {
    return `127.0.0.1:${this.settings[index]?.metrics.port ?? 0}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    await this.resources[Symbol.asyncDispose]();
  }

  private async createSettings(
    vmName: string,
    dataCentre: string,
  ): Promise<gateways.GatewaySettings> {
    const [callers = 0, readiness = 0, peers = 0, metrics = 0] = await freePorts.findFreePorts(4);
    const host = "127.0.0.1";
    return {
      vmName,
      dataCentre,
      coresCount: 1,
      maxSocketsCount: this.maxSocketsCount,
      callers: { host, port: callers },
      readiness: { host, port: readiness },
      peers: { host, port: peers },
      metrics: { host, port: metrics },
      graceMs: this.graceMs,
      revocationMs: 3_000,
      configurationApplyMs: 2_000,
      retryBudget: { ratio: 0.2, slackCount: this.retrySlackCount, windowMs: 10_000 },
      coldBounds: { overrunRatio: 1.5, toleranceCount: 5 },
    };
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
