import "reflect-metadata";

import * as crypto from "node:crypto";

import * as hotShots from "hot-shots";
import * as tsyringe from "tsyringe";

import * as clocks from "../../_lib/clock/index.js";
import type * as disposableStore from "../../_lib/disposableStore/index.js";
import * as randoms from "../../_lib/random/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import * as accounts from "../../accounts/index.js";
import * as backends from "../../backends/index.js";
import * as catalogue from "../../catalogue/index.js";
import * as fleet from "../../fleet/index.js";
import * as peers from "../../peers/index.js";
import * as appendBudgets from "../../controlPlane/appendBudget/index.js";
import * as platform from "../../controlPlane/index.js";
import type * as platformTypes from "../../controlPlane/types.js";
import * as replication from "../../replication/index.js";
import type * as settings from "../../settings/index.js";
import * as telemetry from "../../telemetry/index.js";
import * as certificateFiles from "../certificateFiles/index.js";
import * as seededVmLists from "../seededVmList/index.js";
import * as startWaits from "./startWaits.js";

const { TOKENS } = tokens;

type Wrapper<Part> = (inner: Part) => Part;

/** Wrappers with which tests simulate partitions and delays of a VM's external dependencies. */
export interface DependencyWrappers {
  readonly logService: Wrapper<platformTypes.LogService>;
  readonly vmList: Wrapper<platformTypes.VmList>;
  readonly engineClients: Wrapper<backends.EngineClients>;
  readonly serviceClients: Wrapper<backends.ServiceClients>;
  readonly datagramSocket: Wrapper<fleet.DatagramSocket>;
  readonly peerDirectory: Wrapper<peers.PeerDirectory>;
}

/** Dependencies and options that tests and experiments replace. */
export interface DaemonOverrides {
  readonly wrappers?: DependencyWrappers;
  readonly clock?: clocks.Clock;
  readonly randomSeed?: number;
  readonly membership?: Partial<fleet.MembershipOptions>;
  readonly replication?: Partial<replication.FollowerOptions>;
  /** How the start waits for addresses and certificates; without it, the start fails instead. */
  readonly waits?: startWaits.StartWaits;
}

/** Inputs from which the container's parts are created. */
interface ContainerSource {
  readonly container: tsyringe.DependencyContainer;
  readonly settings: settings.Settings;
  readonly store: disposableStore.DisposableStore;
  readonly overrides: DaemonOverrides;
}

/** Exclusive upper bound of the seed that is drawn when none is given. */
const RANDOM_SEED_LIMIT = 2 ** 31;

/**
 * Creates the container from which a daemon's parts are resolved, and opens the heartbeat socket.
 *
 * @param options - the daemon's checked settings
 * @param store - takes ownership of every resource that is opened
 * @param overrides - dependencies and options to replace
 * @throws the cause if the heartbeat socket cannot be opened or a certificate cannot be read
 */
export async function createContainer(
  options: settings.Settings,
  store: disposableStore.DisposableStore,
  overrides: DaemonOverrides,
): Promise<tsyringe.DependencyContainer> {
  const container = tsyringe.container.createChildContainer();
  const source: ContainerSource = { container, settings: options, store, overrides };
  const seed = overrides.randomSeed ?? crypto.randomInt(RANDOM_SEED_LIMIT);
  const clock: clocks.Clock = overrides.clock ?? new clocks.SystemClock();
  container.registerInstance(TOKENS.clock, clock);
  container.registerInstance(TOKENS.random, randoms.createRandom(seed));
  container.registerInstance(TOKENS.settings, options);
  registerTelemetry(source);
  registerExternalServices(source);
  await registerPeers(source);
  registerSharedParts(source);
  return container;
}

function registerTelemetry({ container, settings: options, store }: ContainerSource): void {
  const { vm, logging, requests } = options;
  const clock = container.resolve<clocks.Clock>(TOKENS.clock);
  const logger = telemetry.createLogger({
    vmName: vm.name,
    level: logging.level,
    destination: logging.file ?? "stderr",
  });
  const burn = new telemetry.BurnRecorder(clock, (entryName) => {
    const view = container.resolve<catalogue.CatalogueView>(TOKENS.catalogueView);
    return catalogue.findGenerationEntry(view.current(), entryName);
  });
  const statsd = createStatsd(options, store);
  container.registerInstance(TOKENS.logger, logger);
  container.registerInstance(telemetry.BurnRecorder, burn);
  container.registerInstance(TOKENS.metrics, new telemetry.TelemetryHub({ burn, statsd }));
  const tracer = new telemetry.TraceRing(vm.name, clock, requests.maxTraces);
  container.registerInstance(TOKENS.tracer, tracer);
}

function createStatsd(
  { metrics, vm }: settings.Settings,
  store: disposableStore.DisposableStore,
): hotShots.StatsD | null {
  if (metrics === undefined) return null;
  const statsd = new hotShots.StatsD({
    host: metrics.host,
    port: metrics.port,
    prefix: metrics.prefix,
    globalTags: { vm: vm.name },
    errorHandler: () => undefined,
  });
  store.defer(
    () =>
      new Promise<void>((resolve) => {
        statsd.close(() => resolve());
      }),
  );
  return statsd;
}

function registerExternalServices({
  container,
  settings: options,
  store,
  overrides,
}: ContainerSource): void {
  const { wrappers } = overrides;
  const platformVmList = store.add(container.resolve(platform.HttpVmList));
  const vmList = new seededVmLists.SeededVmList(options.fleet.seedPeers, platformVmList);
  container.registerInstance(seededVmLists.SeededVmList, vmList);
  const logService = store.add(container.resolve(platform.HttpLogService));
  const engineClients = store.add(container.resolve(backends.HttpEngineClients));
  const serviceClients = store.add(container.resolve(backends.HttpServiceClients));
  container.registerInstance(TOKENS.vmList, applyWrapper(vmList, wrappers?.vmList));
  container.registerInstance(TOKENS.logService, applyWrapper(logService, wrappers?.logService));
  container.registerInstance(
    TOKENS.weightStore,
    store.add(container.resolve(platform.HttpWeightStore)),
  );
  container.registerInstance(
    TOKENS.engineClients,
    applyWrapper(engineClients, wrappers?.engineClients),
  );
  container.registerInstance(
    TOKENS.serviceClients,
    applyWrapper(serviceClients, wrappers?.serviceClients),
  );
}

function applyWrapper<Part>(inner: Part, wrapper: Wrapper<Part> | undefined): Part {
  return wrapper === undefined ? inner : wrapper(inner);
}

async function registerPeers(source: ContainerSource): Promise<void> {
  const { container, settings: options, store, overrides } = source;
  const { vm } = options;
  const waits = overrides.waits ?? startWaits.NO_WAITS;
  const socket = await waits.bind(
    "heartbeats",
    { host: vm.peerAddress, port: vm.heartbeatPort },
    () => fleet.UdpSocket.open(vm.peerAddress, vm.heartbeatPort),
  );
  container.registerInstance(
    TOKENS.datagramSocket,
    applyWrapper<fleet.DatagramSocket>(store.add(socket), overrides.wrappers?.datagramSocket),
  );
  container.registerInstance<fleet.MembershipOptions>(TOKENS.membershipOptions, {
    ...fleet.DEFAULT_MEMBERSHIP_OPTIONS,
    listIntervalMs: options.platform.vmListIntervalMs,
    ...overrides.membership,
    self: vm,
    fleetKey: options.fleet.key,
  });
  const membership = store.add(container.resolve(fleet.FleetMembership));
  container.registerInstance(fleet.FleetMembership, membership);
  container.registerInstance(TOKENS.fleetView, membership);
  const directory = { findEndpoint: (name: string) => findEndpoint(membership, name) };
  container.registerInstance(
    TOKENS.peerDirectory,
    applyWrapper<peers.PeerDirectory>(directory, overrides.wrappers?.peerDirectory),
  );
  container.registerInstance<peers.PeerOptions>(TOKENS.peerOptions, {
    ...peers.DEFAULT_PEER_OPTIONS,
    vmName: vm.name,
    listenAddress: vm.peerAddress,
    listenPort: vm.peerPort,
    fleetKey: options.fleet.key,
    tls: await readPeerCertificates(options, waits),
  });
  const network = store.add(container.resolve(peers.TcpPeerNetwork));
  container.registerInstance(peers.TcpPeerNetwork, network);
  container.registerInstance(TOKENS.peerNetwork, network);
}

async function readPeerCertificates(
  { fleet: { tls } }: settings.Settings,
  waits: startWaits.StartWaits,
): Promise<peers.PeerTlsOptions | null> {
  if (tls === undefined) return null;
  const { cert, key, ca } = await waits.read(tls.certFile, () =>
    certificateFiles.readCertificates(tls),
  );
  if (typeof ca === "string") return { cert, key, ca };
  throw new Error(
    "fleet.tls.caFile: expected a file, since VMs verify each other's certificates against it",
  );
}

function findEndpoint(
  membership: fleet.FleetMembership,
  name: string,
): peers.PeerEndpoint | undefined {
  const member = membership.members().find((candidate) => candidate.name === name);
  if (member === undefined) return undefined;
  return { address: member.peerAddress, port: member.peerPort };
}

/** Registers the append budget, the leases, the catalogue replica, and options of several parts. */
function registerSharedParts(source: ContainerSource): void {
  const { container, settings: options, store, overrides } = source;
  const clock = container.resolve<clocks.Clock>(TOKENS.clock);
  const membership = container.resolve(fleet.FleetMembership);
  const countLiveVms = (): number =>
    membership.members().filter((member) => member.state === fleet.MemberState.Live).length;
  const budget = new appendBudgets.AppendBudget(clock, () => Math.max(1, countLiveVms()));
  container.registerInstance(TOKENS.appendBudget, budget);
  container.registerInstance<replication.FollowerOptions>(TOKENS.replicationOptions, {
    ...replication.DEFAULT_FOLLOWER_OPTIONS,
    ...overrides.replication,
  });
  container.registerInstance<fleet.LeaseOptions>(TOKENS.leaseOptions, {
    ...fleet.DEFAULT_LEASE_OPTIONS,
    vmName: options.vm.name,
  });
  const leases = store.add(container.resolve(fleet.LeaseHolder));
  container.registerInstance(fleet.LeaseHolder, leases);
  container.registerInstance(TOKENS.accountLimitOptions, accounts.DEFAULT_ACCOUNT_LIMIT_OPTIONS);
  const replica = store.add(container.resolve(catalogue.CatalogueReplica));
  container.registerInstance(catalogue.CatalogueReplica, replica);
  container.registerInstance(TOKENS.catalogueView, replica);
}
