import * as fastCheck from "fast-check";
import tap from "tap";

import * as virtualClocks from "../../_lib/virtualClock/index.js";
import * as sharedView from "../../sharedView/index.js";
import * as virtualFleets from "../_lib/virtualFleet/index.js";
import * as viewAgeWatches from "../_lib/viewAgeWatch/index.js";
import * as virtualStores from "../_lib/virtualStore/index.js";

const VM_NAMES = ["vm-1", "vm-2", "vm-3", "vm-4"] as const;

/** Time within which a confirmed change has to be in force. */
const APPLY_MS = 2_000;

/** Time without disturbance after which the bound holds. */
const STABILITY_MS = 3_000;

/** Time after which the writers of lost records have written them again. */
const REWRITE_MS = 700;

const CHECK_INTERVAL_MS = 50;

enum StepKind {
  Publish = "publish",
  Restore = "restore",
  RestoreAfterOutage = "restore after outage",
  Outage = "outage",
  Restart = "restart",
  IsolateVm = "isolate VM",
  CutFromStore = "cut from store",
  Register = "register server",
  Unregister = "unregister server",
}

interface Step {
  readonly kind: StepKind;
  /** Time since the step before. */
  readonly pauseMs: number;
  readonly durationMs: number;
  /** How long before a restore its copy was made. */
  readonly copyAgeMs: number;
  readonly vm: (typeof VM_NAMES)[number];
}

const step = fastCheck.record<Step>({
  kind: fastCheck.constantFrom(...Object.values(StepKind)),
  // Short pauses place a change just before, during and just after a restore.
  pauseMs: fastCheck.oneof(
    fastCheck.integer({ min: 0, max: 40 }),
    fastCheck.integer({ min: 100, max: 6_500 }),
  ),
  durationMs: fastCheck.integer({ min: 50, max: 2_500 }),
  copyAgeMs: fastCheck.integer({ min: 100, max: 5_000 }),
  vm: fastCheck.constantFrom(...VM_NAMES),
});

/** One random history; `findings` lists what was violated. */
class History {
  readonly findings: string[] = [];
  private readonly clock = new virtualClocks.VirtualClock();
  private readonly store = new virtualStores.VirtualStore(this.clock);
  private readonly fleet = new virtualFleets.VirtualFleet(this.clock, this.store);
  private readonly copies: { atMs: number; copy: virtualStores.StoreCopy }[] = [];
  private readonly highestVersions = new Map<virtualFleets.VirtualVm, number>();
  private readonly viewAges = new viewAgeWatches.ViewAgeWatch();
  private readonly registeredIds = new Set<string>();
  /** Last sequence of each server; a server that registers again continues it. */
  private readonly serverSequences = new Map<string, number>();
  private version = 1;
  private confirmedAtMs = 0;
  private calmSinceMs = 0;

  async play(steps: readonly Step[]): Promise<void> {
    this.fleet.publish(this.version);
    for (const name of VM_NAMES) this.fleet.start(name);
    await this.runForMs(STABILITY_MS);
    for (const each of steps) {
      await this.runForMs(each.pauseMs);
      this.apply(each);
    }
    // All disturbances end and all writers have written by then.
    await this.runForMs(STABILITY_MS + APPLY_MS);
    await this.runForMs(STABILITY_MS + APPLY_MS);
    this.checkConvergence();
    for (const name of VM_NAMES) this.fleet.stop(name);
  }

  private apply(each: Step): void {
    const { kind, vm, durationMs } = each;
    const handlers: Readonly<Record<StepKind, () => void>> = {
      [StepKind.Publish]: () => this.publish(),
      [StepKind.Restore]: () => this.restore(each),
      [StepKind.RestoreAfterOutage]: () => {
        this.store.isUp = false;
        this.clock.schedule(durationMs / 2, () => this.restore(each));
        this.clock.schedule(durationMs, () => (this.store.isUp = true));
      },
      [StepKind.Outage]: () => {
        this.store.isUp = false;
        this.clock.schedule(durationMs, () => (this.store.isUp = true));
      },
      [StepKind.Restart]: () => this.fleet.start(vm),
      [StepKind.IsolateVm]: () => this.addFor(this.fleet.isolated, vm, durationMs),
      [StepKind.CutFromStore]: () => this.addFor(this.fleet.storeless, vm, durationMs),
      [StepKind.Register]: () => this.writeServer(`server-${vm}`),
      [StepKind.Unregister]: () => {
        this.registeredIds.delete(`server-${vm}`);
        this.store.append(sharedView.Topic.Servers, `server-${vm}`, null);
      },
    };
    const isDisturbance = kind !== StepKind.Publish;
    if (isDisturbance) this.calmSinceMs = this.clock.nowMs() + durationMs + REWRITE_MS;
    handlers[kind]();
  }

  private publish(): void {
    // The operator's call fails while the store is down.
    if (!this.store.isUp) return;
    this.version += 3;
    this.fleet.publish(this.version);
    this.confirmedAtMs = this.clock.nowMs();
    this.viewAges.publish(this.version, this.confirmedAtMs);
  }

  private writeServer(id: string): void {
    this.registeredIds.add(id);
    this.serverSequences.set(id, (this.serverSequences.get(id) ?? 0) + 1);
    this.store.append(sharedView.Topic.Servers, id, String(this.serverSequences.get(id)));
  }

  private restore({ copyAgeMs }: Step): void {
    const wantedAtMs = this.clock.nowMs() - copyAgeMs;
    const found = this.copies.findLast(({ atMs }) => atMs <= wantedAtMs);
    if (found === undefined) return;
    this.store.restore(found.copy);
    this.clock.schedule(REWRITE_MS, () => {
      this.fleet.publish(this.version);
      this.confirmedAtMs = this.clock.nowMs();
      for (const name of VM_NAMES) {
        const id = `server-${name}`;
        if (this.registeredIds.has(id)) this.writeServer(id);
        else this.store.append(sharedView.Topic.Servers, id, null);
      }
    });
  }

  private addFor(names: Set<string>, name: string, durationMs: number): void {
    names.add(name);
    this.clock.schedule(durationMs, () => names.delete(name));
  }

  private async runForMs(durationMs: number): Promise<void> {
    const endsAtMs = this.clock.nowMs() + durationMs;
    while (this.clock.nowMs() < endsAtMs) {
      await this.clock.runForMs(Math.min(CHECK_INTERVAL_MS, endsAtMs - this.clock.nowMs()));
      if (this.store.isUp) this.copies.push({ atMs: this.clock.nowMs(), copy: this.store.copy() });
      this.checkVersions();
    }
  }

  private checkVersions(): void {
    const nowMs = this.clock.nowMs();
    const isBound =
      nowMs > Math.max(this.confirmedAtMs, this.calmSinceMs + STABILITY_MS) + APPLY_MS;
    for (const vm of this.fleet.vms.values()) {
      this.findings.push(...this.viewAges.check(vm, nowMs));
      const highest = this.highestVersions.get(vm) ?? 0;
      if (vm.version < highest) this.findings.push(`${vm.name} went back from ${highest}`);
      this.highestVersions.set(vm, Math.max(highest, vm.version));
      if (isBound && vm.version < this.version)
        this.findings.push(`${vm.name} has ${vm.version} of ${this.version} at ${nowMs} ms`);
    }
  }

  private checkConvergence(): void {
    const expected = [...this.registeredIds].sort();
    for (const { name, directory, view } of this.fleet.vms.values()) {
      const available = directory.listAvailable("s").map(({ entry }) => entry.id);
      const isSame = available.sort().join() === expected.join();
      if (!isSame) this.findings.push(`${name} knows ${available.join()}, not ${expected.join()}`);
      if (view.configurationAgeMs > APPLY_MS)
        this.findings.push(`${name} has a view ${view.configurationAgeMs} ms old`);
    }
  }
}

async function findViolations(steps: readonly Step[]): Promise<readonly string[]> {
  const history = new History();
  await history.play(steps);
  return history.findings;
}

tap.test(
  "in random histories with restores of the store, configurations apply in time, never revert and look no younger than they are",
  async () => {
    await fastCheck.assert(
      fastCheck.asyncProperty(fastCheck.array(step, { maxLength: 12 }), async (steps) => {
        const findings = await findViolations(steps);
        if (findings.length > 0) throw new Error(findings.slice(0, 3).join("; "));
      }),
      { seed: 21, numRuns: 60 },
    );
  },
);
