import * as zod from "zod";

import * as engines from "../../../engines/index.js";
import * as fleetTypes from "../../../fleet/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";

/** Maximum number of weights in a received histogram. */
const MAX_WEIGHTS_COUNT = 256;

/** A key is a model, or a model and an entry, as a JSON list. */
const keySchema = zod.string().refine(isLengthKey, "expected a model, or a model and an entry");

const snapshotsSchema = zod.record(
  keySchema,
  zod.object({ weights: zod.array(zod.number().min(0)).max(MAX_WEIGHTS_COUNT) }),
);

/** Exchanges learned output lengths among the VMs of a data centre. */
export class LengthExchange {
  private hasRequestedKnown = false;
  private lastSentAtMs: number;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly learner: engines.LengthLearner,
  ) {
    this.lastSentAtMs = context.clock.nowMs();
  }

  /** Registers the message handlers. */
  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Lengths, snapshotsSchema, (snapshots) => {
      this.learner.merge(snapshots);
    });
    link.handle(messages.Method.KnownLengths, zod.unknown(), () => this.learner.snapshots());
  }

  /** Sends the observed lengths when due; after its start a VM also requests those of a peer. */
  exchange(): void {
    const peers = this.listLivePeers();
    if (peers.length === 0) return;
    if (!this.hasRequestedKnown) void this.requestKnownLengths(peers);
    const nowMs = this.context.clock.nowMs();
    // Every VM sends to every other one of its data centre, so the interval grows with their number.
    const intervalMs = peers.length * constants.LENGTHS_SEND_INTERVAL_PER_PEER_MS;
    if (nowMs - this.lastSentAtMs < intervalMs) return;
    this.lastSentAtMs = nowMs;
    const observed = this.learner.takeObservations();
    if (Object.keys(observed).length === 0) return;
    for (const name of peers) {
      this.context.link.notify(name, messages.Method.Lengths, observed);
    }
  }

  private async requestKnownLengths(peers: readonly string[]): Promise<void> {
    this.hasRequestedKnown = true;
    const index = Math.floor(this.context.random.next() * peers.length);
    const answer = await this.context.link.call(
      peers[index] ?? "",
      messages.Method.KnownLengths,
      null,
      snapshotsSchema,
    );
    if (answer.isOk()) this.learner.merge(answer.value);
    else this.hasRequestedKnown = false;
  }

  private listLivePeers(): readonly string[] {
    const { self } = this.context.fleet;
    return this.context.fleet
      .members()
      .filter(({ dataCentre }) => dataCentre === self.dataCentre)
      .filter(({ name, state }) => name !== self.name && state === fleetTypes.MemberState.Live)
      .map(({ name }) => name);
  }
}

function isLengthKey(key: string): boolean {
  try {
    const parts: unknown = JSON.parse(key);
    const isList = Array.isArray(parts) && (parts.length === 1 || parts.length === 2);
    return isList && parts.every((part) => typeof part === "string");
  } catch {
    return false;
  }
}
