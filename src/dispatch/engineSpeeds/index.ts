import type * as clocks from "../../_lib/clock/index.js";
import * as decayingMaxima from "../_lib/decayingMaximum/index.js";
import * as decayingMeans from "../_lib/decayingMean/index.js";
import * as compareSpeeds from "../compareSpeeds/index.js";
import * as constants from "../constants.js";

/** A start of an engine; each start has a speed of its own. */
export interface EngineStart {
  readonly id: string;
  readonly bornAtWallMs: number;
}

/** What one VM has observed of an engine's speed, as sent to its peers. */
export interface SpeedStatement {
  readonly serverId: string;
  readonly bornAtWallMs: number;
  /** Logarithms of observed by nominal time, for reading prompts and for writing output. */
  readonly readingLog: number;
  readonly writingLog: number;
  /** Nominal duration of the observations behind each of them, decayed until now. */
  readonly readingWeightMs: number;
  readonly writingWeightMs: number;
  /** Longest pause of a stream lately, as if it ran alone; 0 if none was observed. */
  readonly pauseMs: number;
  /** Time since the last observation. */
  readonly ageMs: number;
}

/** Some consecutive events of one stream, as an engine wrote them. */
export interface WritingSample {
  readonly tokensCount: number;
  readonly elapsedMs: number;
  readonly maxGapMs: number;
  /** Runs on the engine at the time. */
  readonly runningCount: number;
}

interface Observations {
  readonly reading: decayingMeans.DecayingMean;
  readonly writing: decayingMeans.DecayingMean;
  readonly pause: decayingMaxima.DecayingMaximum;
  observedAtMs: number;
}

interface ObservedEngine {
  readonly bornAtWallMs: number;
  /** Observations of each VM; those of this VM under the empty name. */
  readonly byVm: Map<string, Observations>;
}

interface Comparison {
  readonly speeds: ReadonlyMap<string, compareSpeeds.EngineSpeed>;
  readonly comparedAtMs: number;
}

/** Name under which this VM keeps its own observations; no VM has it. */
const OWN_NAME = "";

/**
 * Learns how fast each engine reads and writes, from the times to first events and between events
 * that all VMs observe; each VM alone sees too few runs of an engine. VMs share only what they have
 * observed themselves, so that no observation counts twice, and all compute the same means.
 */
export class EngineSpeeds {
  private readonly engines = new Map<string, ObservedEngine>();
  private readonly comparisons = new Map<string, Comparison>();

  constructor(private readonly clock: clocks.Clock) {}

  /** Compares the engines of a service; refreshed every `SPEED_REFRESH_INTERVAL_MS`. */
  compare(
    serviceName: string,
    engines: readonly EngineStart[],
  ): ReadonlyMap<string, compareSpeeds.EngineSpeed> {
    const nowMs = this.clock.nowMs();
    const known = this.comparisons.get(serviceName);
    if (known !== undefined && nowMs - known.comparedAtMs < constants.SPEED_REFRESH_INTERVAL_MS)
      return known.speeds;
    const observed = engines.map((engine) => this.sumObservations(engine));
    const speeds = compareSpeeds.compareSpeeds(observed);
    this.comparisons.set(serviceName, { speeds, comparedAtMs: nowMs });
    return speeds;
  }

  /** Lists the latest comparison of each service. */
  listComparisons(): ReadonlyMap<string, readonly compareSpeeds.EngineSpeed[]> {
    return new Map(
      [...this.comparisons].map(([serviceName, { speeds }]) => [serviceName, [...speeds.values()]]),
    );
  }

  /** Records the time to a first event, and that of a nominal engine with the same backlog. */
  recordFirstEvent(engine: EngineStart, nominalMs: number, observedMs: number): void {
    const own = this.getOwn(engine);
    // Weighted by the nominal time, so that slow moments count no more than fast ones.
    own.reading.add(logOf(observedMs / Math.max(1, nominalMs)), nominalMs);
    own.observedAtMs = this.clock.nowMs();
  }

  /** Records the time that an engine took for some consecutive events of a stream. */
  recordWriting(engine: EngineStart, sample: WritingSample): void {
    const { tokensCount, elapsedMs, maxGapMs, runningCount } = sample;
    if (tokensCount <= 0 || elapsedMs <= 0) return;
    const own = this.getOwn(engine);
    const nominalMs = tokensCount * constants.TOKEN_TIME_MS;
    own.writing.add(logOf(elapsedMs / nominalMs), nominalMs);
    own.pause.add(maxGapMs / compareSpeeds.computePauseGrowth(runningCount));
    own.observedAtMs = this.clock.nowMs();
  }

  /** Lists what this VM observed last, to be sent to its peers. */
  listOwnStatements(): readonly SpeedStatement[] {
    const nowMs = this.clock.nowMs();
    const statements: SpeedStatement[] = [];
    for (const [serverId, { bornAtWallMs, byVm }] of this.engines) {
      const own = byVm.get(OWN_NAME);
      if (own === undefined) continue;
      statements.push({
        serverId,
        bornAtWallMs,
        readingLog: own.reading.mean,
        writingLog: own.writing.mean,
        readingWeightMs: own.reading.weight,
        writingWeightMs: own.writing.weight,
        pauseMs: own.pause.value,
        ageMs: nowMs - own.observedAtMs,
      });
    }
    return statements
      .sort((left, right) => left.ageMs - right.ageMs)
      .slice(0, constants.MAX_SHARED_SPEEDS_COUNT);
  }

  /** Records what a peer has observed, unless later observations of that peer are known. */
  recordPeerStatement(vmName: string, statement: SpeedStatement): void {
    const { serverId: id, bornAtWallMs, readingWeightMs, writingWeightMs } = statement;
    const observedAtMs = this.clock.nowMs() - statement.ageMs;
    const engine = this.getOrCreate({ id, bornAtWallMs });
    if (engine === null || observedAtMs < (engine.byVm.get(vmName)?.observedAtMs ?? -Infinity))
      return;
    const observations = this.createObservations(observedAtMs);
    observations.reading.add(boundLog(statement.readingLog), readingWeightMs);
    observations.writing.add(boundLog(statement.writingLog), writingWeightMs);
    observations.pause.add(statement.pauseMs);
    engine.byVm.set(vmName, observations);
  }

  /** Removes old observations, and those of all engines except the given ones. */
  retain(serverIds: ReadonlySet<string>): void {
    const oldestAtMs = this.clock.nowMs() - constants.SPEED_RETENTION_MS;
    for (const [serverId, { byVm }] of this.engines) {
      for (const [vmName, { observedAtMs }] of byVm) {
        if (observedAtMs < oldestAtMs) byVm.delete(vmName);
      }
      if (!serverIds.has(serverId) || byVm.size === 0) this.engines.delete(serverId);
    }
  }

  private sumObservations({ id, bornAtWallMs }: EngineStart): compareSpeeds.ObservedSpeed {
    const known = this.engines.get(id);
    const observed = known?.bornAtWallMs === bornAtWallMs ? [...known.byVm.values()] : [];
    return {
      serverId: id,
      reading: sumMeans(observed.map(({ reading }) => reading)),
      writing: sumMeans(observed.map(({ writing }) => writing)),
      pauseTokens: observed.flatMap(({ pause, writing }) => {
        const tokenMs = constants.TOKEN_TIME_MS * Math.exp(writing.mean);
        return pause.value > 0 ? [pause.value / tokenMs] : [];
      }),
    };
  }

  private getOwn(engine: EngineStart): Observations {
    const known = this.getOrCreate(engine);
    const own = known?.byVm.get(OWN_NAME);
    if (own !== undefined) return own;
    const created = this.createObservations(this.clock.nowMs());
    known?.byVm.set(OWN_NAME, created);
    return created;
  }

  /** Returns null for a start before the one that is known. */
  private getOrCreate({ id, bornAtWallMs }: EngineStart): ObservedEngine | null {
    const known = this.engines.get(id);
    if (known?.bornAtWallMs === bornAtWallMs) return known;
    if (known !== undefined && known.bornAtWallMs > bornAtWallMs) return null;
    const created = { bornAtWallMs, byVm: new Map<string, Observations>() };
    this.engines.set(id, created);
    return created;
  }

  private createObservations(observedAtMs: number): Observations {
    const create = (): decayingMeans.DecayingMean =>
      new decayingMeans.DecayingMean(this.clock, constants.SPEED_HALF_LIFE_MS);
    const { PAUSE_HALF_LIFE_MS } = constants;
    const pause = new decayingMaxima.DecayingMaximum(this.clock, PAUSE_HALF_LIFE_MS);
    return { reading: create(), writing: create(), pause, observedAtMs };
  }
}

function sumMeans(means: readonly decayingMeans.DecayingMean[]): compareSpeeds.Observed {
  const weightMs = means.reduce((sum, { weight }) => sum + weight, 0);
  const weighted = means.reduce((sum, { mean, weight }) => sum + mean * weight, 0);
  return { mean: weightMs > 0 ? weighted / weightMs : 0, weightMs };
}

function logOf(ratio: number): number {
  return boundLog(Math.log(ratio));
}

/** Bounds one observation, so that no outlier dominates the mean. */
function boundLog(log: number): number {
  return Math.max(-constants.MAX_SPEED_LOG, Math.min(constants.MAX_SPEED_LOG, log));
}
