import * as zod from "zod";

import * as engines from "../../../engines/index.js";
import * as fleetTypes from "../../../fleet/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";

/** Most weights that one histogram may have on its way. */
const MAX_WEIGHTS = 256;

/** A key is a model, or a model and an entry, as a JSON list. */
const keySchema = zod.string().refine(isLengthKey, "expected a model, or a model and an entry");

const snapshotsSchema = zod.record(
  keySchema,
  zod.object({ weights: zod.array(zod.number().min(0)).max(MAX_WEIGHTS) }),
);

/** Shares what is learned about output lengths among the VMs of a data centre. */
export class LengthExchange {
  private hasAsked = false;
  private toldAtMs: number;

  constructor(
    private readonly context: contexts.GenerationContext,
    private readonly learner: engines.LengthLearner,
  ) {
    this.toldAtMs = context.clock.nowMs();
  }

  start(): void {
    const { link } = this.context;
    link.handle(messages.Method.Lengths, snapshotsSchema, (snapshots) => {
      this.learner.merge(snapshots);
    });
    link.handle(messages.Method.KnownLengths, zod.unknown(), () => this.learner.snapshots());
  }

  /** Tells what was observed here since the last time; a VM that starts asks for what is known. */
  exchange(): void {
    const peers = this.livePeers();
    if (peers.length === 0) return;
    if (!this.hasAsked) void this.ask(peers);
    const nowMs = this.context.clock.nowMs();
    // Every VM tells every other one of its data centre, so more of them tell more rarely.
    const intervalMs = peers.length * constants.LENGTHS_INTERVAL_PER_PEER_MS;
    if (nowMs - this.toldAtMs < intervalMs) return;
    this.toldAtMs = nowMs;
    const observed = this.learner.takeObservations();
    if (Object.keys(observed).length === 0) return;
    for (const name of peers) {
      this.context.link.notify(name, messages.Method.Lengths, observed);
    }
  }

  private async ask(peers: readonly string[]): Promise<void> {
    this.hasAsked = true;
    const index = Math.floor(this.context.random.next() * peers.length);
    const answer = await this.context.link.call(
      peers[index] ?? "",
      messages.Method.KnownLengths,
      null,
      snapshotsSchema,
    );
    if (answer.isOk()) this.learner.merge(answer.value);
    else this.hasAsked = false;
  }

  private livePeers(): readonly string[] {
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
