import * as clocks from "../../../src/_lib/clock/index.js";
import * as logging from "../../../src/_lib/logger/index.js";
import * as randoms from "../../../src/_lib/random/index.js";
import * as peers from "../../../src/peers/index.js";
import * as counters from "../../telemetry/counters/index.js";

/** The TCP peer networks of several VMs on loopback, closed together. */
export class TcpFleet implements AsyncDisposable {
  readonly endpoints = new Map<string, peers.PeerEndpoint>();
  private readonly networks: peers.TcpPeerNetwork[] = [];

  constructor(private readonly clock: clocks.Clock = new clocks.SystemClock()) {}

  /** Starts a VM's peer network and adds it to the shared directory of endpoints. */
  async start(
    vmName: string,
    overrides: Partial<peers.PeerOptions> = {},
  ): Promise<peers.TcpPeerNetwork> {
    const options: peers.PeerOptions = {
      ...peers.DEFAULT_PEER_OPTIONS,
      vmName,
      listenAddress: "127.0.0.1",
      listenPort: 0,
      fleetKey: "fleet key",
      ...overrides,
    };
    const directory = { findEndpoint: (name: string) => this.endpoints.get(name) };
    const network = new peers.TcpPeerNetwork(
      options,
      directory,
      this.clock,
      randoms.createRandom(6),
      logging.NOOP_LOGGER,
      new counters.CounterModel(),
    );
    await network.listen();
    this.networks.push(network);
    this.endpoints.set(vmName, { address: "127.0.0.1", port: network.port });
    return network;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all(this.networks.map((network) => network[Symbol.asyncDispose]()));
  }
}
