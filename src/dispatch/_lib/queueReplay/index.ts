import * as randoms from "../../../_lib/random/index.js";
import * as virtualClocks from "../../../_lib/virtualClock/index.js";
import * as claimTables from "../../claimTable/index.js";
import * as dispatch from "../../index.js";
import * as fixtures from "../fixtures/index.js";

const STEP_MS = 20;

/** Generations of one kind that an account sends at an even rate. */
export interface Stream {
  readonly accountName: string;
  readonly priority: number;
  readonly ratePerSecond: number;
  readonly fromMs: number;
  readonly untilMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly objectiveMs: number;
}

interface Run {
  readonly waiting: dispatch.FleetWaiting;
  readonly stream: Stream;
}

/** What became of a stream's generations. */
export interface Outcome {
  sentCount: number;
  inTimeCount: number;
  servedCount: number;
}

/** Replays generations against engines with the decisions that every VM takes on its own. */
export class QueueReplay {
  private readonly clock = new virtualClocks.VirtualClock();
  private readonly claims = new claimTables.ClaimTable(this.clock);
  private readonly random = randoms.createRandom(7);
  private readonly outcomes = new Map<Stream, Outcome>();
  private queue: Run[] = [];

  constructor(
    private readonly engineIds: readonly string[],
    private readonly streams: readonly Stream[],
  ) {}

  /** Runs for a time, and returns the outcome of each stream. */
  async run(durationMs: number): Promise<ReadonlyMap<Stream, Outcome>> {
    while (this.clock.nowMs() < durationMs) {
      for (const stream of this.streams) this.sendDue(stream);
      this.place();
      await this.clock.runForMs(STEP_MS);
    }
    return this.outcomes;
  }

  private sendDue(stream: Stream): void {
    const nowMs = this.clock.nowMs();
    if (nowMs < stream.fromMs || nowMs >= stream.untilMs) return;
    const dueCount = Math.floor(((nowMs - stream.fromMs + STEP_MS) * stream.ratePerSecond) / 1_000);
    const outcome = this.outcomeOf(stream);
    for (; outcome.sentCount < dueCount; outcome.sentCount += 1) {
      const { accountName, priority, promptTokens, outputTokens, objectiveMs } = stream;
      const waiting = fixtures.waiting({
        requestId: `${accountName}-${priority}-${outcome.sentCount}`,
        accountName,
        priority,
        need: fixtures.need({
          promptTokens,
          unreadTokens: promptTokens,
          expectedOutputTokens: outputTokens,
        }),
        enqueuedAtWallMs: this.clock.wallTimeMs(),
        objectiveAtWallMs: this.clock.wallTimeMs() + objectiveMs,
      });
      this.queue.push({ waiting, stream });
    }
  }

  private outcomeOf(stream: Stream): Outcome {
    const known = this.outcomes.get(stream);
    if (known !== undefined) return known;
    const created = { sentCount: 0, inTimeCount: 0, servedCount: 0 };
    this.outcomes.set(stream, created);
    return created;
  }

  private place(): void {
    const nowWallMs = this.clock.wallTimeMs();
    const engines = this.engineIds.map((serverId) =>
      fixtures.engine({ ...this.claims.computeLoad(serverId), serverId }),
    );
    const waiting = this.queue.map((run) => run.waiting);
    const byUrgency = dispatch.orderWaiting(waiting, nowWallMs);
    const claimed = { engines, runs: this.claims.listRuns(this.engineIds) };
    const ordered = dispatch.orderByShares(byUrgency, claimed, nowWallMs);
    const allocated = dispatch.allocateCapacity(ordered, engines, nowWallMs);
    for (const run of this.queue) {
      const engine = allocated.get(run.waiting);
      if (engine !== undefined) this.start(run, engine);
    }
    this.queue = this.queue.filter((run) => !allocated.has(run.waiting));
  }

  private start({ waiting, stream }: Run, engine: dispatch.EngineCandidate): void {
    const { requestId, need, priority } = waiting;
    const origin = { accountName: stream.accountName, priority };
    const claim = fixtures.claim({ ...need, requestId, serverId: engine.serverId, origin });
    this.claims.put(claim);
    const firstEventMs = dispatch.estimateFirstEvent(need, engine);
    // Half to one and a half of the expected length.
    const outputTokens = need.expectedOutputTokens * (0.5 + this.random.next());
    const runMs = firstEventMs + outputTokens * dispatch.TOKEN_TIME_MS;
    const outcome = this.outcomeOf(stream);
    const startsAtWallMs = this.clock.wallTimeMs() + firstEventMs;
    if (startsAtWallMs <= waiting.objectiveAtWallMs) outcome.inTimeCount += 1;
    this.clock.schedule(firstEventMs, () => {
      this.claims.put({ ...claim, hasFirstEvent: true, unreadTokens: 0 });
    });
    this.clock.schedule(runMs, () => {
      outcome.servedCount += 1;
      this.claims.release(requestId, dispatch.ClaimRole.Run);
    });
  }
}
