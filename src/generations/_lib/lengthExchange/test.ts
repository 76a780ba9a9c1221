import tap from "tap";

import * as hubs from "../../../../standins/peers/hub/index.js";
import * as fleetViews from "../../../../standins/fleet/view/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as randoms from "../../../_lib/random/index.js";
import * as engines from "../../../engines/index.js";
import * as catalogue from "../../../catalogue/types.js";
import * as constants from "../../constants.js";
import type * as contexts from "../context/index.js";
import * as messages from "../messages/index.js";
import * as peerLinks from "../peerLink/index.js";
import * as exchanges from "./index.js";

const NEED: engines.GenerationNeed = {
  requestId: "r",
  entryName: "draft",
  accountName: "a",
  class: catalogue.RequestClass.Streaming,
  model: "drafter",
  version: "1",
  adapter: null,
  promptTokens: 10,
  prefixHashes: [],
  producedTokens: 0,
  maxTokens: 10_000,
  acceptedAtMs: 0,
  deadlineAtMs: 1_000,
};

interface ExchangingVm {
  readonly learner: engines.LengthLearner;
  readonly exchange: exchanges.LengthExchange;
}

class ExchangeGroup {
  readonly clock = new virtualClocks.VirtualClock();
  readonly hub = new hubs.PeerHub(this.clock);
  private readonly identities = ["a", "b", "c"].map((name) =>
    fleetViews.createVmIdentity(name, "dc1"),
  );

  create(name: string): ExchangingVm {
    const learner = new engines.LengthLearner();
    const self = fleetViews.createVmIdentity(name, "dc1");
    const context = {
      clock: this.clock,
      random: randoms.createRandom(1),
      fleet: new fleetViews.FakeFleetView(self, this.identities),
      link: new peerLinks.PeerLink(name, this.hub.join(name)),
    } as unknown as contexts.GenerationContext;
    const exchange = new exchanges.LengthExchange(context, learner);
    exchange.start();
    return { learner, exchange };
  }

  /** Runs exchanges until each VM has sent its observations once. */
  async run(vms: readonly ExchangingVm[]): Promise<void> {
    const rounds = vms.length * 2;
    for (let round = 0; round < rounds; round += 1) {
      await this.clock.runForMs(constants.LENGTHS_SEND_INTERVAL_PER_PEER_MS);
      for (const vm of vms) vm.exchange.exchange();
    }
    await this.clock.runForMs(1_000);
  }
}

function expectedTokens(vm: ExchangingVm): number {
  return vm.learner.distributionFor(NEED).residual(0, NEED.maxTokens).meanTokens;
}

tap.test("a VM learns lengths that another VM of its data centre has observed", async (t) => {
  const group = new ExchangeGroup();
  const vms = ["a", "b", "c"].map((name) => group.create(name));
  await group.run(vms);
  for (let count = 0; count < 300; count += 1) vms[0]!.learner.observe(NEED, 100);
  const before = expectedTokens(vms[1]!);
  await group.run(vms);
  const after = expectedTokens(vms[1]!);
  t.ok(Math.abs(after - 100) < Math.abs(before - 100) / 4, `${before} before, ${after} after`);
});

tap.test("a starting VM requests the lengths that other VMs know", async (t) => {
  const group = new ExchangeGroup();
  const known = ["a", "b"].map((name) => group.create(name));
  for (const vm of known) {
    for (let count = 0; count < 300; count += 1) vm.learner.observe(NEED, 100);
  }
  const started = group.create("c");
  started.exchange.exchange();
  await group.clock.runForMs(1_000);
  t.ok(expectedTokens(started) < 200, `${expectedTokens(started)} tokens`);
});

tap.test("a malformed message does not change the learned lengths", async (t) => {
  const group = new ExchangeGroup();
  const vm = group.create("a");
  const before = expectedTokens(vm);
  const sender = group.hub.join("b");
  for (const key of ["no json", "{}", "[1]", '["a","b","c"]']) {
    const message = { [key]: { weights: [1_000] } };
    const answer = sender.call("a", messages.Method.Lengths, message, { timeoutMs: 100 });
    await group.clock.runForMs(200);
    t.ok((await answer).isErr(), key);
  }
  t.equal(expectedTokens(vm), before);
});
