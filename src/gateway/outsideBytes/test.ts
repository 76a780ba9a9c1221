import * as fs from "node:fs";
import * as timers from "node:timers/promises";

import tap, { type Test } from "tap";

import * as processes from "../../../experiments/soak/processes/index.js";
import * as backendServers from "../../../standins/platform/backendServer/index.js";
import * as gatewayFleets from "../../../standins/platform/gatewayFleet/index.js";
import * as rawAnswers from "../../../standins/platform/rawAnswer/index.js";
import * as smallVms from "../../../standins/platform/smallVm/index.js";
import * as oddEntries from "../_lib/oddEntries/index.js";
import * as spoiledHeads from "../_lib/spoiledHeads/index.js";
import * as testFleets from "../_lib/testFleet/index.js";

const { ENGINE_SERVICE, PLAIN_SERVICE } = gatewayFleets;

/** Answers of which one has a spoiled head. */
const SPOILED_EVERY_COUNT = 50;

const MIN_SERVED_RATIO = 0.98;

/** Time within which an entry that comes after an odd one has to be used. */
const ENTRY_APPLY_MS = 2_000;

/** Time between two calls to a VM, of each kind of route. */
const CALL_INTERVAL_MS = 40;

/** Model engines, which are there all the time. */
const ENGINES_COUNT = 3;

/** Id of the calls by which a VM is found to serve, which do not count. */
const PROBE_ID = "ready";

const PATHS = ["/lookup/", "/file/", "/draft/"] as const;

interface CallCount {
  calls: number;
  served: number;
}

/** Gateway processes that are called all the time, before servers that spoil some of their answers. */
class CalledFleet {
  readonly vms: processes.GatewayProcess[] = [];
  readonly unexpectedEnds: string[] = [];
  /** Calls and those of them that were served, by path. */
  private readonly counts = new Map<string, CallCount>();
  readonly spoiledKinds = new Set<string>();
  readonly folder = processes.createLogFolder(0);
  private readonly answersCounts = new Map<string, number>();
  private readonly callers: Promise<void>[] = [];
  private plain: backendServers.BackendServer | null = null;
  private plainCount = 0;
  private isOver = false;

  constructor(readonly platform: gatewayFleets.GatewayFleet) {}

  /** Starts a gateway process, and calls it as soon as it serves all kinds of calls. */
  async addVm(): Promise<void> {
    const vm = new processes.GatewayProcess(
      this.vms.length,
      this.platform.store.port,
      this.folder,
      {
        onDisturbed: () => undefined,
        onUnexpectedEnd: (detail) => this.unexpectedEnds.push(detail),
        onMemoryExceeded: (detail) => this.unexpectedEnds.push(detail),
      },
    );
    vm.start();
    await testFleets.waitUntil(async () => {
      const calls = PATHS.map((path) => smallVms.sendCall(vm, path, PROBE_ID).catch(() => null));
      return (await Promise.all(calls)).every((answer) => answer?.status === 200);
    });
    this.vms.push(vm);
    this.callers.push(...PATHS.map((path) => this.callRepeatedly(vm, path)));
  }

  /**
   * Adds a plain server, and lets the former one leave, so that all calls have to go to the new one.
   *
   * @returns the time until all VMs had used it
   */
  async replacePlainServer(): Promise<number> {
    const { plain: former, platform } = this;
    const answer = this.spoil(backendServers.answerCompletely("ok"));
    this.plainCount += 1;
    const added = await platform.addServer(`p${this.plainCount}`, PLAIN_SERVICE, answer);
    const addedAtMs = performance.now();
    this.plain = added;
    if (former !== null) platform.register(former, PLAIN_SERVICE, "draining");
    const users = [...this.vms];
    await testFleets.waitUntil(() =>
      users.every((vm) => added.calls.some(({ id }) => id.startsWith(`vm-${vm.index}/`))),
    );
    return Math.round(performance.now() - addedAtMs);
  }

  /** Ends the calls, and waits for those in progress. */
  async endCalls(): Promise<void> {
    this.isOver = true;
    await Promise.all(this.callers);
  }

  /** Spoils the head of one of fifty answers of each kind of route, by all kinds in turn. */
  spoil(sound: backendServers.Behaviour): backendServers.Behaviour {
    return (call, response, server) => {
      if (call.id === PROBE_ID) return sound(call, response, server);
      const count = (this.answersCounts.get(call.target) ?? 0) + 1;
      this.answersCounts.set(call.target, count);
      if (count % SPOILED_EVERY_COUNT !== 0) return sound(call, response, server);
      const kinds = Object.entries(spoiledHeads.SPOILED_HEADS);
      const [kind, lines] = kinds[this.spoiledKinds.size % kinds.length] ?? ["", []];
      this.spoiledKinds.add(kind);
      const createHead = spoiledHeads.createHead;
      const spoiled = rawAnswers.answerRaw(
        (received, self) => `${createHead(lines, received, self)}${spoiledHeads.BODY}`,
      );
      return spoiled(call, response, server);
    };
  }

  /** Counts the calls of some paths so far. */
  countCalls(paths: readonly string[]): CallCount {
    const counts = paths.map((path) => this.counts.get(path) ?? { calls: 0, served: 0 });
    return {
      calls: counts.reduce((sum, { calls }) => sum + calls, 0),
      served: counts.reduce((sum, { served }) => sum + served, 0),
    };
  }

  /** Lists the lines of the logs on errors that no code expected. */
  listInternalErrors(): readonly string[] {
    const lines = this.vms.flatMap(({ index }) =>
      fs.readFileSync(`${this.folder}/vm-${index}.log`, "utf8").split("\n"),
    );
    return lines.filter((line) => line.includes('"event":"internal-error"'));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.endCalls();
    await Promise.all(this.vms.map((vm) => vm.stop()));
    fs.rmSync(this.folder, { recursive: true });
  }

  private async callRepeatedly(vm: processes.GatewayProcess, path: string): Promise<void> {
    const inProgress: Promise<void>[] = [];
    for (let index = 0; !this.isOver; index += 1) {
      inProgress.push(this.call(vm, path, `vm-${vm.index}${path}${index}`));
      await timers.setTimeout(CALL_INTERVAL_MS);
    }
    await Promise.all(inProgress);
  }

  private async call(vm: processes.GatewayProcess, path: string, id: string): Promise<void> {
    const counts = this.counts.get(path) ?? { calls: 0, served: 0 };
    this.counts.set(path, counts);
    counts.calls += 1;
    const answer = await smallVms.sendCall(vm, path, id).catch(() => null);
    if (answer?.status === 200 && answer.isComplete) counts.served += 1;
  }
}

async function startCalledFleet(t: Test): Promise<CalledFleet> {
  const platform = await testFleets.startFleet(t);
  const fleet = new CalledFleet(platform);
  t.teardown(() => fleet[Symbol.asyncDispose]());
  platform.configure();
  const stream = backendServers.stream({ eventsCount: 3, gapMs: 5 });
  for (let index = 0; index < ENGINES_COUNT; index += 1)
    await platform.addServer(`e${index}`, ENGINE_SERVICE, fleet.spoil(stream));
  await fleet.replacePlainServer();
  await fleet.addVm();
  await fleet.addVm();
  return fleet;
}

// Guards against processes that end at bytes from outside, one after another, and against work lost beside them.
tap.test("real gateways serve on before odd entries and spoiled heads", async (t) => {
  const fleet = await startCalledFleet(t);
  const { platform } = fleet;
  const other = await platform.addServer("other", "another service", backendServers.refuse());
  const odd = Object.entries(oddEntries.listOddEntries(other.port));
  let late: Promise<void> | null = null;
  for (const [index, [name, { key, value }]] of odd.entries()) {
    // Under keys of their own, so that a VM that starts reads all of them.
    platform.store.put("keyed.servers", key === "odd" ? `odd-${index}` : key, value);
    const usersCount = fleet.vms.length;
    const tookMs = await fleet.replacePlainServer();
    t.ok(tookMs < ENTRY_APPLY_MS, `used by ${usersCount} VMs ${tookMs} ms after ${name}`);
    if (index === Math.floor(odd.length / 2)) late = fleet.addVm();
  }
  await late;
  const tookMs = await fleet.replacePlainServer();
  t.ok(tookMs < ENTRY_APPLY_MS, `used ${tookMs} ms after it, also by the VM started meanwhile`);
  await testFleets.waitUntil(
    () => fleet.spoiledKinds.size === Object.keys(spoiledHeads.SPOILED_HEADS).length,
  );
  await fleet.endCalls();
  const lookups = fleet.countCalls(["/lookup/"]);
  const all = fleet.countCalls(PATHS);
  for (const [name, { calls, served }] of Object.entries({ lookups, all }))
    t.ok(served / calls >= MIN_SERVED_RATIO, `${name}: ${served} of ${calls} calls served`);
  t.same(fleet.unexpectedEnds, [], "no process has ended");
  t.same(fleet.listInternalErrors(), [], "no error that nobody expected");
  t.equal(other.calls.length, 0, "nothing was sent to an address that an odd entry names");
});
