import * as engines from "../../src/engines/index.js";
import * as randoms from "../../src/_lib/random/index.js";
import * as virtualClocks from "../../src/_lib/virtualClock/index.js";
import * as standins from "../../standins/engine/types.js";
import * as createNodes from "../createEngineNode/index.js";
import * as engineNodes from "../engineNode/index.js";
import * as entryVms from "../entryVm/index.js";
import * as liveRequests from "../liveRequest/index.js";
import * as plans from "../planRequests/index.js";
import * as policies from "../policies/index.js";
import * as recorders from "../recorder/index.js";
import * as types from "../types.js";

const TICK_MS = 50;
const MERGE_INTERVAL_MS = 5_000;
const EXPIRY_INTERVAL_MS = 1_000;
const RECLAIM_NOTICE_MS = 30_000;
/** A run ends at the latest after this many times its own duration. */
const LONGEST_DRAIN_FACTOR = 40;
/** Queues that a home asks for work in one offer, the most urgent first. */
const MAX_ASKED_QUEUES = 2;
/** Requests that one offer of room may start. */
const MAX_STARTS_PER_OFFER = 64;

/** What identifies a run. */
export interface RunOptions {
  readonly seed: number;
  readonly load: number;
}

/**
 * Runs one policy through an experiment on a virtual clock.
 *
 * @returns what callers saw; equal arguments give equal outcomes
 */
export function runExperiment(
  experiment: types.Experiment,
  policy: policies.Policy,
  options: RunOptions,
): types.RunOutcome {
  return new Run(experiment, policy, options).outcome();
}

class Run implements engineNodes.EngineNodeListener {
  private readonly clock = new virtualClocks.VirtualClock();
  private readonly recorder: recorders.Recorder;
  private readonly plans: readonly types.PlannedRequest[];
  private readonly planOf: ReadonlyMap<string, types.PlannedRequest>;
  private readonly live = new Map<string, liveRequests.LiveRequest>();
  private readonly vms: readonly entryVms.EntryVm[];
  private readonly nodes: engineNodes.EngineNode[] = [];
  private readonly nodeOf = new Map<string, engineNodes.EngineNode>();
  private readonly homeQueues = new Map<string, engines.WaitingQueue>();

  constructor(
    private readonly experiment: types.Experiment,
    private readonly policy: policies.Policy,
    private readonly options: RunOptions,
  ) {
    const random = randoms.createRandom(options.seed);
    this.recorder = new recorders.Recorder(experiment.durationMs);
    this.plans = plans.planRequests(experiment, options.seed, options.load);
    this.planOf = new Map(this.plans.map((plan) => [plan.requestId, plan]));
    this.vms = Array.from({ length: experiment.workload.vmsCount }, (_, index) =>
      this.createVm(index, random.fork()),
    );
    for (const group of experiment.workload.groups) this.createEngines(group, random);
  }

  outcome(): types.RunOutcome {
    this.scheduleAll();
    const limitMs = this.experiment.durationMs * LONGEST_DRAIN_FACTOR;
    let untilMs = this.experiment.durationMs;
    do {
      this.clock.advanceToMs(untilMs);
      untilMs += this.experiment.durationMs / 10;
    } while (this.recorder.openCount > 0 && untilMs < limitMs);
    const enginePreemptionsCount = this.nodes.reduce(
      (sum, node) => sum + node.parts.model.counters.preemptionsCount,
      0,
    );
    const { suspensionsCount } = this.recorder;
    const preemptionsCount = enginePreemptionsCount + suspensionsCount;
    const { seed, load } = this.options;
    const head = { policy: this.policy.name, seed, load };
    const result = { ...head, ...this.recorder.summary(), preemptionsCount };
    return { result, suspensionsCount, classes: this.recorder.classOutcomes() };
  }

  onReturned(request: liveRequests.LiveRequest): void {
    this.clock.schedule(liveRequests.HOP_MS, () => this.route(request));
  }

  onRoom(node: engineNodes.EngineNode): void {
    if (node.parts.model.isDead()) return;
    for (let count = 0; count < MAX_STARTS_PER_OFFER; count += 1) {
      const need = this.takeWaitingFor(node);
      const request = need === null ? undefined : this.live.get(need.requestId);
      if (request === undefined) return;
      node.start(request);
    }
  }

  private scheduleAll(): void {
    for (const plan of this.plans) this.clock.schedule(plan.atMs, () => this.arrive(plan));
    this.nodes.forEach((node, index) => {
      this.repeat(TICK_MS, index, () => this.tick(node));
      this.repeat(this.experiment.viewIntervalMs, index, () => this.publish(node));
    });
    this.repeat(MERGE_INTERVAL_MS, 0, () => this.mergeLearners());
    this.repeat(EXPIRY_INTERVAL_MS, 0, () => this.expireWaiting());
    for (const item of this.experiment.disturbances) {
      this.clock.schedule(item.atMs, () => this.disturb(item));
    }
  }

  private repeat(intervalMs: number, offsetMs: number, action: () => void): void {
    const run = (): void => {
      action();
      this.clock.schedule(intervalMs, run);
    };
    this.clock.schedule(offsetMs, run);
  }

  private arrive(plan: types.PlannedRequest): void {
    const request = liveRequests.createLiveRequest(plan, this.recorder.onOffered(plan));
    this.live.set(plan.requestId, request);
    this.route(request);
  }

  /** Sends a request to an engine's home, or lets it wait at its VM behind what is more urgent. */
  private route(request: liveRequests.LiveRequest): void {
    const vm = this.vmAt(request.plan.vmIndex);
    const need = liveRequests.needOf(request);
    const isBehind = vm.hasWaitingBefore(need, this.clock.nowMs());
    const choice = isBehind ? null : vm.choose(need);
    const node = choice === null ? undefined : this.nodeOf.get(choice.engineName);
    if (node === undefined) {
      vm.queue.push(need);
      return;
    }
    this.clock.schedule(this.hopMs(vm, node), () => this.offer(request, vm, node));
  }

  private offer(
    request: liveRequests.LiveRequest,
    vm: entryVms.EntryVm,
    node: engineNodes.EngineNode,
  ): void {
    const need = liveRequests.needOf(request);
    const { verdict } = node.scheduler.admit(need, this.clock.nowMs());
    if (node.parts.model.isDead()) {
      vm.forget(node.name);
      this.route(request);
    } else if (verdict === engines.AdmissionVerdict.Admit) node.start(request);
    else if (verdict === engines.AdmissionVerdict.Refuse) this.recorder.onRefused(request.caller);
    else if (this.policy.binding === policies.Binding.Early) this.homeQueueOf(node).push(need);
    else this.clock.schedule(this.hopMs(vm, node), () => vm.queue.push(need));
  }

  /** The most urgent work that waits anywhere and fits the engine. */
  private takeWaitingFor(node: engineNodes.EngineNode): engines.GenerationNeed | null {
    const nowMs = this.clock.nowMs();
    const { loadedModels } = node.parts.model.orders;
    const room: engines.EngineCapacity = {
      loadedModels,
      accepts: (need) =>
        node.scheduler.admit(need, nowMs).verdict === engines.AdmissionVerdict.Admit,
    };
    const ranked = this.queuesFor(node)
      .filter((queue) => queue.count > 0)
      .map((queue) => ({ queue, urgency: urgencyOf(queue, loadedModels, nowMs) }))
      .sort((left, right) => left.urgency - right.urgency)
      .slice(0, MAX_ASKED_QUEUES);
    for (const { queue } of ranked) {
      const need = queue.nextFor(room, nowMs);
      if (need !== null) return need;
    }
    return null;
  }

  private queuesFor(node: engineNodes.EngineNode): readonly engines.WaitingQueue[] {
    const shared = this.vms.map((vm) => vm.queue);
    if (this.policy.binding === policies.Binding.Late) return shared;
    return [this.homeQueueOf(node), ...shared];
  }

  private homeQueueOf(node: engineNodes.EngineNode): engines.WaitingQueue {
    const known = this.homeQueues.get(node.name);
    if (known !== undefined) return known;
    const maxWaitingCount = this.plans.length;
    const created = new engines.WaitingQueue({
      maxWaitingCount,
      expectedTokensOf: (need) => need.maxTokens,
    });
    this.homeQueues.set(node.name, created);
    return created;
  }

  private tick(node: engineNodes.EngineNode): void {
    node.tick();
    this.onRoom(node);
  }

  private publish(node: engineNodes.EngineNode): void {
    if (node.parts.model.isDead()) {
      for (const vm of this.vms) vm.forget(node.name);
      return;
    }
    const view = node.scheduler.view(this.clock.nowMs());
    for (const vm of this.vms) this.clock.schedule(this.hopMs(vm, node), () => vm.see(view));
  }

  private mergeLearners(): void {
    for (const from of this.vms) {
      const observations = from.learner.takeObservations();
      for (const to of this.vms) if (to !== from) to.learner.merge(observations);
    }
  }

  private expireWaiting(): void {
    const queues = [...this.vms.map((vm) => vm.queue), ...this.homeQueues.values()];
    for (const need of queues.flatMap((queue) => queue.expire(this.clock.nowMs()))) {
      const request = this.live.get(need.requestId);
      if (request !== undefined) this.recorder.onRefused(request.caller);
    }
  }

  private disturb(item: types.Disturbance): void {
    const model = this.nodes[item.engineIndex]?.parts.model;
    if (item.kind === types.DisturbanceKind.EngineLoss) model?.inject(standins.EngineFault.Dead);
    else model?.reclaim(RECLAIM_NOTICE_MS);
  }

  private hopMs(vm: entryVms.EntryVm, node: engineNodes.EngineNode): number {
    const home = this.vmAt(node.parts.homeVmIndex);
    const isNear = home.dataCentre === vm.dataCentre;
    return isNear ? liveRequests.HOP_MS : liveRequests.CROSS_DATA_CENTRE_HOP_MS;
  }

  private vmAt(index: number): entryVms.EntryVm {
    const vm = this.vms[index];
    if (vm === undefined) throw new RangeError(`no VM ${index}`);
    return vm;
  }

  private createVm(index: number, random: randoms.RandomSource): entryVms.EntryVm {
    const { dataCentres } = this.experiment.workload;
    const dataCentre = dataCentres[index % dataCentres.length] ?? "";
    return new entryVms.EntryVm(index, dataCentre, this.policy, random);
  }

  private createEngines(group: types.EngineGroup, random: randoms.RandomSource): void {
    for (let index = 0; index < group.count; index += 1) {
      const homeVmIndex = this.nodes.length % this.vms.length;
      const node = createNodes.createEngineNode(
        { group, index, homeVmIndex, random: random.fork() },
        {
          policy: this.policy,
          entries: this.experiment.workload.entries,
          home: this.vmAt(homeVmIndex),
          clock: this.clock,
          recorder: this.recorder,
          listener: this,
          planOf: this.planOf,
        },
      );
      this.nodes.push(node);
      this.nodeOf.set(node.name, node);
    }
  }
}

/** Lower is more urgent; how urgent the work is that waits in a queue for these models. */
function urgencyOf(
  queue: engines.WaitingQueue,
  loadedModels: Parameters<typeof engines.hasModelLoaded>[0],
  nowMs: number,
): number {
  const ranks = queue
    .summary(nowMs)
    .filter((item) => engines.hasModelLoaded(loadedModels, item))
    .map((item) => item.rank);
  return Math.min(...ranks, Infinity);
}
