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

const LOAD_REPORT_INTERVAL_MS = 50;
/** Interval at which VMs exchange the output lengths that they observed. */
const LEARNER_MERGE_INTERVAL_MS = 5_000;
/** Interval at which waiting requests past their deadline are refused. */
const QUEUE_EXPIRY_INTERVAL_MS = 1_000;
const RECLAIM_NOTICE_MS = 30_000;
/**
 * Limit of a run's time, including the drain after the last arrival, as a multiple of its duration.
 */
const MAX_RUN_DURATION_FACTOR = 40;
/** Maximum number of queues that a home searches for one request, the most urgent first. */
const MAX_POLLED_QUEUES_COUNT = 2;
/** Maximum number of requests started on an engine each time that it may have free capacity. */
const MAX_STARTS_PER_CHECK_COUNT = 64;

/** The seed of a run, and its load relative to the engines' capacity. */
export interface RunOptions {
  readonly seed: number;
  readonly load: number;
}

/**
 * Simulates an experiment with one policy on a virtual clock.
 *
 * @returns what callers observed; equal arguments give equal outcomes
 */
export function runExperiment(
  experiment: types.Experiment,
  policy: policies.Policy,
  options: RunOptions,
): types.RunOutcome {
  return new Run(experiment, policy, options).execute();
}

class Run implements engineNodes.EngineNodeListener {
  private readonly clock = new virtualClocks.VirtualClock();
  private readonly recorder: recorders.Recorder;
  private readonly plans: readonly types.PlannedRequest[];
  private readonly planByRequestId: ReadonlyMap<string, types.PlannedRequest>;
  private readonly requestById = new Map<string, liveRequests.LiveRequest>();
  private readonly vms: readonly entryVms.EntryVm[];
  private readonly nodes: engineNodes.EngineNode[] = [];
  private readonly nodeByName = new Map<string, engineNodes.EngineNode>();
  private readonly homeQueues = new Map<string, engines.WaitingQueue>();

  constructor(
    private readonly experiment: types.Experiment,
    private readonly policy: policies.Policy,
    private readonly options: RunOptions,
  ) {
    const random = randoms.createRandom(options.seed);
    this.recorder = new recorders.Recorder(experiment.durationMs);
    this.plans = plans.planRequests(experiment, options.seed, options.load);
    this.planByRequestId = new Map(this.plans.map((plan) => [plan.requestId, plan]));
    this.vms = Array.from({ length: experiment.workload.vmsCount }, (_, index) =>
      this.createVm(index, random.fork()),
    );
    for (const group of experiment.workload.groups) this.createEngines(group, random);
  }

  execute(): types.RunOutcome {
    this.scheduleAll();
    const limitMs = this.experiment.durationMs * MAX_RUN_DURATION_FACTOR;
    let untilMs = this.experiment.durationMs;
    do {
      this.clock.advanceToMs(untilMs);
      untilMs += this.experiment.durationMs / 10;
    } while (this.recorder.unfinishedCount > 0 && untilMs < limitMs);
    const enginePreemptionsCount = this.nodes.reduce(
      (sum, node) => sum + node.options.model.counters.preemptionsCount,
      0,
    );
    const { suspensionsCount } = this.recorder;
    const preemptionsCount = enginePreemptionsCount + suspensionsCount;
    const { seed, load } = this.options;
    const head = { policy: this.policy.name, seed, load };
    const result = { ...head, ...this.recorder.summary(), preemptionsCount };
    return { result, suspensionsCount, classes: this.recorder.classOutcomes() };
  }

  onInterrupted(request: liveRequests.LiveRequest): void {
    this.clock.schedule(liveRequests.SAME_DATA_CENTRE_HOP_MS, () => this.route(request));
  }

  onCapacityFreed(node: engineNodes.EngineNode): void {
    if (node.options.model.isDead()) return;
    for (let count = 0; count < MAX_STARTS_PER_CHECK_COUNT; count += 1) {
      const need = this.takeMostUrgentFor(node);
      const request = need === null ? undefined : this.requestById.get(need.requestId);
      if (request === undefined) return;
      node.start(request);
    }
  }

  private scheduleAll(): void {
    for (const plan of this.plans) this.clock.schedule(plan.atMs, () => this.acceptRequest(plan));
    this.nodes.forEach((node, index) => {
      this.scheduleRepeatedly(LOAD_REPORT_INTERVAL_MS, index, () => this.processEngine(node));
      this.scheduleRepeatedly(this.experiment.viewIntervalMs, index, () => this.publishView(node));
    });
    this.scheduleRepeatedly(LEARNER_MERGE_INTERVAL_MS, 0, () => this.mergeLearners());
    this.scheduleRepeatedly(QUEUE_EXPIRY_INTERVAL_MS, 0, () => this.expireWaiting());
    for (const item of this.experiment.disturbances) {
      this.clock.schedule(item.atMs, () => this.injectDisturbance(item));
    }
  }

  private scheduleRepeatedly(intervalMs: number, offsetMs: number, action: () => void): void {
    const run = (): void => {
      action();
      this.clock.schedule(intervalMs, run);
    };
    this.clock.schedule(offsetMs, run);
  }

  private acceptRequest(plan: types.PlannedRequest): void {
    const request = liveRequests.createLiveRequest(plan, this.recorder.onOffered(plan));
    this.requestById.set(plan.requestId, request);
    this.route(request);
  }

  /**
   * Sends a request to an engine's home, or queues it at its VM if preceding work waits or no
   * engine is usable.
   */
  private route(request: liveRequests.LiveRequest): void {
    const vm = this.vmAt(request.plan.vmIndex);
    const need = liveRequests.createCurrentNeed(request);
    const hasPrecedingWork = vm.hasPrecedingWork(need, this.clock.nowMs());
    const choice = hasPrecedingWork ? null : vm.selectEngine(need);
    const node = choice === null ? undefined : this.nodeByName.get(choice.engineName);
    if (node === undefined) {
      vm.queue.push(need);
      return;
    }
    this.clock.schedule(this.networkDelayMs(vm, node), () => this.offer(request, vm, node));
  }

  /** Asks an engine's home to admit a request, and starts, refuses or queues it accordingly. */
  private offer(
    request: liveRequests.LiveRequest,
    vm: entryVms.EntryVm,
    node: engineNodes.EngineNode,
  ): void {
    const need = liveRequests.createCurrentNeed(request);
    const { verdict } = node.scheduler.admit(need, this.clock.nowMs());
    if (node.options.model.isDead()) {
      vm.removeEngine(node.name);
      this.route(request);
    } else if (verdict === engines.AdmissionVerdict.Admit) node.start(request);
    else if (verdict === engines.AdmissionVerdict.Refuse) this.recorder.onRefused(request.caller);
    else if (this.policy.binding === policies.Binding.Early) this.homeQueueOf(node).push(need);
    else this.clock.schedule(this.networkDelayMs(vm, node), () => vm.queue.push(need));
  }

  /** Removes and returns the most urgent waiting request that the engine can admit, or null. */
  private takeMostUrgentFor(node: engineNodes.EngineNode): engines.GenerationNeed | null {
    const nowMs = this.clock.nowMs();
    const { loadedModels } = node.options.model.orders;
    const capacity: engines.EngineCapacity = {
      loadedModels,
      accepts: (need) =>
        node.scheduler.admit(need, nowMs).verdict === engines.AdmissionVerdict.Admit,
    };
    const ranked = this.listQueuesFor(node)
      .filter((queue) => queue.count > 0)
      .map((queue) => ({ queue, urgency: computeUrgencyRank(queue, loadedModels, nowMs) }))
      .sort((left, right) => left.urgency - right.urgency)
      .slice(0, MAX_POLLED_QUEUES_COUNT);
    for (const { queue } of ranked) {
      const need = queue.nextFor(capacity, nowMs);
      if (need !== null) return need;
    }
    return null;
  }

  private listQueuesFor(node: engineNodes.EngineNode): readonly engines.WaitingQueue[] {
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

  private processEngine(node: engineNodes.EngineNode): void {
    node.processLoadReport();
    this.onCapacityFreed(node);
  }

  private publishView(node: engineNodes.EngineNode): void {
    if (node.options.model.isDead()) {
      for (const vm of this.vms) vm.removeEngine(node.name);
      return;
    }
    const view = node.scheduler.view(this.clock.nowMs());
    for (const vm of this.vms)
      this.clock.schedule(this.networkDelayMs(vm, node), () => vm.updateView(view));
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
      const request = this.requestById.get(need.requestId);
      if (request !== undefined) this.recorder.onRefused(request.caller);
    }
  }

  private injectDisturbance(item: types.Disturbance): void {
    const model = this.nodes[item.engineIndex]?.options.model;
    if (item.kind === types.DisturbanceKind.EngineLoss) model?.inject(standins.EngineFault.Dead);
    else model?.reclaim(RECLAIM_NOTICE_MS);
  }

  private networkDelayMs(vm: entryVms.EntryVm, node: engineNodes.EngineNode): number {
    const home = this.vmAt(node.options.homeVmIndex);
    const isSameDataCentre = home.dataCentre === vm.dataCentre;
    return isSameDataCentre
      ? liveRequests.SAME_DATA_CENTRE_HOP_MS
      : liveRequests.CROSS_DATA_CENTRE_HOP_MS;
  }

  private vmAt(index: number): entryVms.EntryVm {
    const vm = this.vms[index];
    if (vm === undefined) throw new RangeError(`no VM has index ${index}`);
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
          planByRequestId: this.planByRequestId,
        },
      );
      this.nodes.push(node);
      this.nodeByName.set(node.name, node);
    }
  }
}

/**
 * Returns the rank of the most urgent work in a queue for the loaded models; a lower rank is more
 * urgent.
 */
function computeUrgencyRank(
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
