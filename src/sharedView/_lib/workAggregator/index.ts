import type * as clocks from "../../../_lib/clock/index.js";
import * as constants from "../../constants.js";
import type * as types from "../../types.js";
import * as datagrams from "../datagrams/index.js";

const { BundleScope, DatagramKind } = datagrams;

/** The VMs to which work updates are sent. */
export interface WorkRoutes {
  /** Whether updates go through one aggregator in each data centre. */
  readonly isHierarchical: boolean;
  /** The aggregator of this data centre; null if it is this VM. */
  readonly aggregator: types.VmAddress | null;
  /** Live peers in this data centre. */
  readonly dataCentrePeers: readonly types.VmAddress[];
  /** The aggregators of the other data centres. */
  readonly remoteAggregators: readonly types.VmAddress[];
  /** Live peers in all data centres. */
  readonly livePeers: readonly types.VmAddress[];
}

/** Dependencies of the work aggregator. */
export interface AggregatorContext {
  readonly clock: clocks.Clock;
  readonly vmName: string;
  /** Returns the current receivers of work updates. */
  readonly routes: () => WorkRoutes;
  readonly send: (message: Buffer, to: types.VmAddress) => void;
}

/**
 * Distributes work updates to all VMs. In a full mesh each VM sends its updates to all others. In
 * a hierarchical fleet it sends them to the aggregator of its data centre, which forwards the
 * updates of an interval in batches, so that the number of messages grows with the number of VMs
 * and not with VMs times updates.
 */
export class WorkAggregator implements Disposable {
  /** Messages from this data centre that are to be forwarded to all VMs. */
  private readonly localMessages: Buffer[] = [];
  /** Messages from other data centres that are to be forwarded within this one. */
  private readonly remoteMessages: Buffer[] = [];
  private flushTimer: Disposable | null = null;

  constructor(private readonly context: AggregatorContext) {}

  /** Sends an update of this VM's work to all VMs. */
  broadcast(message: Buffer): void {
    const { isHierarchical, aggregator, livePeers } = this.context.routes();
    if (!isHierarchical) {
      for (const peer of livePeers) this.context.send(message, peer);
    } else if (aggregator === null) {
      this.enqueue(this.localMessages, [message]);
    } else {
      this.sendBundles(BundleScope.Collect, [message], [aggregator]);
    }
  }

  /** Queues the messages of a received bundle for forwarding as its scope requires. */
  forwardBundle(scope: datagrams.BundleScope, messages: readonly Buffer[]): void {
    if (scope === BundleScope.Collect) this.enqueue(this.localMessages, messages);
    if (scope === BundleScope.Exchange) this.enqueue(this.remoteMessages, messages);
  }

  [Symbol.dispose](): void {
    this.flushTimer?.[Symbol.dispose]();
  }

  private enqueue(queue: Buffer[], messages: readonly Buffer[]): void {
    queue.push(...messages);
    this.flushTimer ??= this.context.clock.schedule(constants.AGGREGATION_INTERVAL_MS, () =>
      this.flush(),
    );
  }

  private flush(): void {
    this.flushTimer = null;
    const { dataCentrePeers, remoteAggregators } = this.context.routes();
    const localMessages = this.localMessages.splice(0);
    const allMessages = [...localMessages, ...this.remoteMessages.splice(0)];
    this.sendBundles(BundleScope.Exchange, localMessages, remoteAggregators);
    this.sendBundles(BundleScope.Deliver, allMessages, dataCentrePeers);
  }

  private sendBundles(
    scope: datagrams.BundleScope,
    messages: readonly Buffer[],
    to: readonly types.VmAddress[],
  ): void {
    const { vmName } = this.context;
    for (const part of splitIntoBundles(messages)) {
      const bundle = { kind: DatagramKind.Bundle, vmName, scope, messages: part } as const;
      const encoded = datagrams.encodeDatagram(bundle);
      for (const peer of to) this.context.send(encoded, peer);
    }
  }
}

/** Groups messages into bundles that fit a datagram; an oversized message gets its own bundle. */
function* splitIntoBundles(messages: readonly Buffer[]): Generator<Buffer[]> {
  let part: Buffer[] = [];
  let sizeBytes = 0;
  for (const message of messages) {
    if (part.length > 0 && sizeBytes + message.length > constants.MAX_BUNDLE_PAYLOAD_BYTES) {
      yield part;
      part = [];
      sizeBytes = 0;
    }
    part.push(message);
    sizeBytes += message.length;
  }
  if (part.length > 0) yield part;
}
