import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as datagrams from "../datagrams/index.js";

const { BundleScope, DatagramKind } = datagrams;

/** The VMs to which word of work goes. */
export interface WorkRoutes {
  /** Whether the fleet is so large that word goes by way of one VM of each data centre. */
  readonly isDivided: boolean;
  /** The VM that collects for this data centre; null where that is this VM. */
  readonly collector: types.VmAddress | null;
  /** Live VMs of this data centre. */
  readonly neighbours: readonly types.VmAddress[];
  /** The VMs that collect for the other data centres. */
  readonly otherCollectors: readonly types.VmAddress[];
  /** All live VMs. */
  readonly all: readonly types.VmAddress[];
}

/** What the relay works with. */
export interface RelayContext {
  readonly clock: clocks.Clock;
  readonly vmName: string;
  readonly routes: () => WorkRoutes;
  readonly send: (message: Buffer, to: types.VmAddress) => void;
}

/**
 * Carries word of work to all VMs. In a small fleet each VM tells all others. In a large one it
 * tells the collector of its data centre, which passes on what came within a moment together, so
 * that messages grow with the VMs and not with VMs times work.
 */
export class WorkRelay implements Disposable {
  private readonly fromHere: Buffer[] = [];
  private readonly fromElsewhere: Buffer[] = [];
  private flushTimer: Disposable | null = null;

  constructor(private readonly context: RelayContext) {}

  /** Tells all VMs of this VM's work. */
  tell(message: Buffer): void {
    const { isDivided, collector, all } = this.context.routes();
    if (!isDivided) {
      for (const peer of all) this.context.send(message, peer);
    } else if (collector === null) {
      this.collect(this.fromHere, [message]);
    } else {
      this.sendBundles(BundleScope.Collect, [message], [collector]);
    }
  }

  /** Passes on what came in a bundle, to whom its sender did not. */
  takeBundle(scope: datagrams.BundleScope, messages: readonly Buffer[]): void {
    if (scope === BundleScope.Collect) this.collect(this.fromHere, messages);
    if (scope === BundleScope.Exchange) this.collect(this.fromElsewhere, messages);
  }

  [Symbol.dispose](): void {
    this.flushTimer?.[Symbol.dispose]();
  }

  private collect(into: Buffer[], messages: readonly Buffer[]): void {
    into.push(...messages);
    this.flushTimer ??= this.context.clock.schedule(constants.COLLECT_INTERVAL_MS, () =>
      this.flush(),
    );
  }

  private flush(): void {
    this.flushTimer = null;
    const { neighbours, otherCollectors } = this.context.routes();
    const own = this.fromHere.splice(0);
    const all = [...own, ...this.fromElsewhere.splice(0)];
    this.sendBundles(BundleScope.Exchange, own, otherCollectors);
    this.sendBundles(BundleScope.Deliver, all, neighbours);
  }

  private sendBundles(
    scope: datagrams.BundleScope,
    messages: readonly Buffer[],
    to: readonly types.VmAddress[],
  ): void {
    const { vmName } = this.context;
    for (const part of partsOf(messages)) {
      const bundle = { kind: DatagramKind.Bundle, vmName, scope, messages: part } as const;
      const encoded = datagrams.encodeDatagram(bundle);
      for (const peer of to) this.context.send(encoded, peer);
    }
  }
}

/** Messages in groups that fit a datagram; one that alone does not goes alone. */
function* partsOf(messages: readonly Buffer[]): Generator<Buffer[]> {
  let part: Buffer[] = [];
  let sizeBytes = 0;
  for (const message of messages) {
    if (part.length > 0 && sizeBytes + message.length > constants.MAX_BUNDLE_BYTES) {
      yield part;
      part = [];
      sizeBytes = 0;
    }
    part.push(message);
    sizeBytes += message.length;
  }
  if (part.length > 0) yield part;
}
