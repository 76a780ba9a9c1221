import type * as randoms from "../../../_lib/random/index.js";
import type * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as constants from "../../constants.js";
import * as crashLedgers from "../../crashLedger/index.js";
import * as types from "../../types.js";

/** The part of prompts on which an engine crashes as it begins to write. */
const CRASHING_PART = "bad";

interface Run {
  readonly vmIndex: number;
  readonly suspects: readonly types.Suspect[];
  readonly sentAtMs: number;
}

interface Engine {
  id: string;
  isUp: boolean;
  /** Runs that have not survived their start. */
  readonly starting: Set<Run>;
}

/** A request that was not refused, or was. */
export interface Decision {
  readonly atMs: number;
  readonly isCrashing: boolean;
  readonly isSent: boolean;
}

/** Options of the modelled fleet. */
export interface FleetOptions {
  readonly vmsCount: number;
  readonly enginesCount: number;
  /** Share of messages between VMs that are lost. */
  readonly lossRatio: number;
}

/**
 * VMs with a ledger each that exchange reports over lossy links, before engines that crash on one
 * part of prompts and come back under a new id. All prompts share their first part.
 */
export class CrashingFleet {
  readonly decisions: Decision[] = [];
  readonly crashesAtMs: number[] = [];
  private readonly ledgers: crashLedgers.CrashLedger[];
  private readonly engines: Engine[];
  private startsCount = 0;

  constructor(
    private readonly clock: virtualClocks.VirtualClock,
    private readonly random: randoms.RandomSource,
    private readonly options: FleetOptions,
  ) {
    const { vmsCount, enginesCount } = options;
    this.ledgers = Array.from({ length: vmsCount }, () => this.createLedger());
    this.engines = Array.from({ length: enginesCount }, () => ({
      id: this.createId(),
      isUp: true,
      starting: new Set<Run>(),
    }));
    this.clock.schedule(1_000, () => this.exchangeSummaries());
  }

  /** Sends a request at a random VM, if it is not refused. */
  request(isCrashing: boolean): void {
    const other = `other-${Math.floor(3 * this.random.next())}`;
    const keys = ["first", ...(isCrashing ? [CRASHING_PART] : []), other];
    const suspects = keys.map((key) => ({ kind: types.SuspectKind.PromptPart, key }));
    const vmIndex = Math.floor(this.random.next() * this.ledgers.length);
    const isSent = this.ledgerOf(vmIndex).findBlame(suspects) === null;
    this.decisions.push({ atMs: this.clock.nowMs(), isCrashing, isSent });
    const upEngines = this.engines.filter(({ isUp }) => isUp);
    const engine = upEngines[Math.floor(this.random.next() * upEngines.length)];
    if (!isSent || engine === undefined) return;
    this.broadcast(vmIndex, this.ledgerOf(vmIndex).startTrial(suspects));
    this.start(engine, { vmIndex, suspects, sentAtMs: this.clock.nowMs() }, isCrashing);
  }

  /** Replaces the process of a random VM by one that knows nothing and is told by its peers. */
  restartVm(): void {
    const vmIndex = Math.floor(this.random.next() * this.ledgers.length);
    this.ledgers[vmIndex] = this.createLedger();
    for (let peer = 0; peer < this.ledgers.length; peer += 1) {
      if (peer !== vmIndex) this.send(vmIndex, this.ledgerOf(peer).listReports());
    }
  }

  private start(engine: Engine, run: Run, isCrashing: boolean): void {
    const { id, starting } = engine;
    starting.add(run);
    this.clock.schedule(100 + 600 * this.random.next(), () => {
      if (engine.id !== id || !engine.isUp) return;
      if (isCrashing)
        this.clock.schedule(20 + 90 * this.random.next(), () => this.crash(engine, id));
      else this.clock.schedule(this.drawStartMs(), () => this.survive(engine, id, run));
    });
  }

  /** Draws the time from a run's begin until it ends whole or its start phase is over. */
  private drawStartMs(): number {
    return this.random.next() < 0.6 ? 100 : constants.START_PHASE_MS;
  }

  private survive(engine: Engine, id: string, run: Run): void {
    if (engine.id !== id || !engine.starting.delete(run)) return;
    this.broadcast(run.vmIndex, this.ledgerOf(run.vmIndex).recordSurvival(run.suspects));
  }

  private crash(engine: Engine, id: string): void {
    if (engine.id !== id || !engine.isUp) return;
    engine.isUp = false;
    const endedAtMs = this.clock.nowMs();
    this.crashesAtMs.push(endedAtMs);
    for (const { vmIndex, suspects, sentAtMs } of engine.starting) {
      const end = { serverId: id, bornAtWallMs: 1, vmName: `vm-${vmIndex}`, sentAtMs, endedAtMs };
      this.broadcast(vmIndex, this.ledgerOf(vmIndex).recordEnd(suspects, end));
    }
    engine.starting.clear();
    this.clock.schedule(1_000 + 4_000 * this.random.next(), () => {
      engine.id = this.createId();
      engine.isUp = true;
    });
  }

  private exchangeSummaries(): void {
    for (let vmIndex = 0; vmIndex < this.ledgers.length; vmIndex += 1) {
      const to = Math.floor(this.random.next() * this.ledgers.length);
      this.send(to, this.ledgerOf(vmIndex).listReports());
    }
    this.clock.schedule(1_000, () => this.exchangeSummaries());
  }

  private broadcast(fromIndex: number, reports: readonly types.SuspectReport[]): void {
    for (let vmIndex = 0; vmIndex < this.ledgers.length; vmIndex += 1) {
      if (vmIndex !== fromIndex) this.send(vmIndex, reports);
    }
  }

  private send(toIndex: number, reports: readonly types.SuspectReport[]): void {
    if (reports.length === 0 || this.random.next() < this.options.lossRatio) return;
    this.clock.schedule(1 + 29 * this.random.next(), () =>
      this.ledgerOf(toIndex).applyReports(reports),
    );
  }

  private ledgerOf(vmIndex: number): crashLedgers.CrashLedger {
    const ledger = this.ledgers[vmIndex];
    if (ledger === undefined) throw new Error(`no VM has the index ${vmIndex}`);
    return ledger;
  }

  private createLedger(): crashLedgers.CrashLedger {
    return new crashLedgers.CrashLedger(this.clock);
  }

  private createId(): string {
    this.startsCount += 1;
    return `e${this.startsCount}`;
  }
}
