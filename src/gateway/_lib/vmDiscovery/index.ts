import type * as clocks from "../../../_lib/clock/index.js";
import type * as sharedView from "../../../sharedView/index.js";

/** What discovery works with. */
export interface DiscoveryContext {
  readonly clock: clocks.Clock;
  readonly registry: sharedView.VmRegistry;
  readonly self: sharedView.VmAddress;
  readonly introduce: (address: sharedView.VmAddress) => void;
}

/** Pause after the store did not take or give the list. */
const RETRY_MS = 700;

/** Interval at which the list is read again, and the own entry put back if it is gone. */
const INTERVAL_MS = 30_000;

/**
 * Makes this VM known to the others and them to it, through the list in the store. A VM that is
 * announced first is found by those that come later; heartbeats do the rest.
 */
export class VmDiscovery implements Disposable {
  private readonly stopping = new AbortController();
  private isAnnounced = false;

  constructor(private readonly context: DiscoveryContext) {}

  /** Announces and looks until disposed. */
  async run(): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const isDone = await this.once();
      // Rejects only when disposed, which the loop then sees.
      await this.context.clock.sleep(isDone ? INTERVAL_MS : RETRY_MS, signal).catch(() => null);
    }
  }

  /** Takes this VM off the list. */
  async withdraw(): Promise<void> {
    this.stopping.abort();
    if (this.isAnnounced) await this.context.registry.withdraw(this.context.self.vmName);
  }

  [Symbol.dispose](): void {
    this.stopping.abort();
  }

  private async once(): Promise<boolean> {
    const { registry, self, introduce } = this.context;
    if (!this.isAnnounced) {
      const announced = await registry.announce(self);
      this.isAnnounced = announced.isOk();
    }
    const listed = await registry.list();
    if (listed.isErr()) return false;
    for (const address of listed.value) introduce(address);
    const own = listed.value.find(({ vmName }) => vmName === self.vmName);
    const isListed = own?.host === self.host && own.port === self.port;
    if (!isListed) this.isAnnounced = false;
    return this.isAnnounced;
  }
}
