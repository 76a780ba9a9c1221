import type * as clocks from "../../../_lib/clock/index.js";
import type * as sharedView from "../../../sharedView/index.js";

/** Dependencies of the discovery. */
export interface DiscoveryContext {
  readonly clock: clocks.Clock;
  readonly registry: sharedView.VmRegistry;
  readonly self: sharedView.VmAddress;
  readonly addPeerAddress: (address: sharedView.VmAddress) => void;
}

/** Retry delay after the registry could not be written or read. */
const RETRY_DELAY_MS = 700;

/** Interval at which the registry is read again and a missing entry of this VM is restored. */
const REFRESH_INTERVAL_MS = 30_000;

/**
 * Exchanges the addresses of this VM and the others through the registry in the store. A VM that
 * registers later finds those registered before it; heartbeats spread the addresses further.
 */
export class VmDiscovery implements Disposable {
  private readonly stopping = new AbortController();
  private isAnnounced = false;
  private hasListed = false;
  /** Interrupts the pause before the next synchronization. */
  private pause = new AbortController();

  constructor(private readonly context: DiscoveryContext) {}

  /** Whether the registry was read since this VM started. */
  get knowsFleet(): boolean {
    return this.hasListed;
  }

  /** Registers this VM and reads the registry periodically until withdrawn or disposed. */
  async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      this.pause = new AbortController();
      const isSynchronized = await this.synchronize();
      const pauseSignal = AbortSignal.any([signal, this.pause.signal]);
      // Rejects only after an abort, which ends the pause or the loop.
      await this.context.clock
        .sleep(isSynchronized ? REFRESH_INTERVAL_MS : RETRY_DELAY_MS, pauseSignal)
        .catch(() => null);
    }
  }

  /** Registers this VM again and reads the registry at once, as the store may have lost entries. */
  refresh(): void {
    this.isAnnounced = false;
    this.pause.abort();
  }

  /** Removes this VM from the registry and stops the discovery. */
  async withdraw(): Promise<void> {
    this.stopping.abort();
    if (this.isAnnounced) await this.context.registry.withdraw(this.context.self.vmName);
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
  }

  private async synchronize(): Promise<boolean> {
    const { registry, self, addPeerAddress } = this.context;
    if (!this.isAnnounced) {
      const announced = await registry.announce(self);
      this.isAnnounced = announced.isOk();
    }
    const listed = await registry.list();
    if (listed.isErr()) return false;
    for (const address of listed.value) addPeerAddress(address);
    this.hasListed = true;
    const own = listed.value.find(({ vmName }) => vmName === self.vmName);
    const isListed = own?.host === self.host && own.port === self.port;
    if (!isListed) this.isAnnounced = false;
    return this.isAnnounced;
  }
}
