import * as fc from "fast-check";
import tap from "tap";

import * as virtualFleet from "../../../../standins/fleet/virtualFleet/index.js";
import * as types from "../../types.js";

const DATA_CENTRES = ["riga-a", "riga-b", "riga-c"];
const MINUTE_MS = 60_000;

enum Event {
  Kill = "kill",
  Start = "start",
  Pause = "pause",
  Resume = "resume",
  Isolate = "isolate",
  CutOff = "cut-off",
  Heal = "heal",
  LoseMany = "lose-many",
  ListDown = "list-down",
}

type Handler = (fleet: virtualFleet.VirtualFleet, name: string, number: number) => unknown;

const HANDLERS: Readonly<Record<Event, Handler>> = {
  [Event.Kill]: (fleet, name) => (fleet.vms.size > 4 ? fleet.kill(name) : undefined),
  [Event.Start]: (fleet, _name, number) => {
    const dataCentre = DATA_CENTRES[number % DATA_CENTRES.length]!;
    const name = `${dataCentre}-new-${number}`;
    if (!fleet.vms.has(name)) fleet.start(name, dataCentre);
  },
  [Event.Pause]: (fleet, name) => fleet.pause(name),
  [Event.Resume]: (fleet, name) => fleet.resume(name),
  [Event.Isolate]: (fleet, name) => fleet.isolate(name),
  [Event.CutOff]: (fleet, _name, number) =>
    fleet.partition([DATA_CENTRES[number % DATA_CENTRES.length]!]),
  [Event.Heal]: (fleet) => fleet.hub.heal(),
  [Event.LoseMany]: (fleet) => (fleet.hub.lossRatio = 0.3),
  [Event.ListDown]: (fleet, _name, number) =>
    fleet.list.partitionedDataCentres.add(DATA_CENTRES[number % DATA_CENTRES.length]!),
};

const histories = fc.array(
  fc.record({
    kind: fc.constantFrom(...Object.values(Event)),
    number: fc.nat(1_000),
    afterMs: fc.nat(20_000),
  }),
  { minLength: 5, maxLength: 15 },
);

tap.test(
  "after any sequence of faults, once all are healed, every VM sees exactly the running VMs",
  async (t) => {
    const property = fc.asyncProperty(histories, fc.nat(1_000), async (events, seed) => {
      const fleet = new virtualFleet.VirtualFleet(seed);
      fleet.hub.jitterMs = 20;
      fleet.startMany(2, DATA_CENTRES);
      await fleet.clock.runForMs(10_000);
      for (const { kind, number, afterMs } of events) {
        const names = [...fleet.vms.keys()];
        await HANDLERS[kind](fleet, names[number % names.length]!, number);
        await fleet.clock.runForMs(afterMs);
      }
      fleet.hub.heal();
      fleet.hub.lossRatio = 0;
      fleet.list.partitionedDataCentres.clear();
      for (const name of fleet.vms.keys()) fleet.resume(name);
      const isSettled = () => fleet.isEveryRunningVmLive() && fleet.hasAgreedViews();
      return (await fleet.runUntil(isSettled, 3 * MINUTE_MS)) < 3 * MINUTE_MS;
    });
    await fc.assert(property, { seed: 68, numRuns: 40 });
    t.pass();
  },
);

tap.test("a datagram loss of 20 % causes no member to be declared dead", async (t) => {
  const fleet = new virtualFleet.VirtualFleet(27);
  fleet.hub.lossRatio = 0.2;
  fleet.startMany(3, DATA_CENTRES);
  await fleet.clock.runForMs(30_000);
  let deathsCount = 0;
  for (let second = 0; second < 300; second += 1) {
    await fleet.clock.runForMs(1_000);
    for (const vm of fleet.vms.values()) {
      const members = vm.membership.members();
      deathsCount += members.filter((member) => member.state === types.MemberState.Dead).length;
    }
  }
  t.equal(deathsCount, 0);
});
