import * as names from "../../../platform/names/index.js";
import * as backendServers from "../backendServer/index.js";

const { HEADERS } = names;

/** Capacity of a server that crashes when it rejects too many requests. */
export interface BrittleOptions {
  readonly slotsCount: number;
  readonly workMs: number;
  /** Time from a crash to the restart. */
  readonly downMs: number;
  /** Time for which it still lets requests wait for a slot, as the platform grants; none if absent. */
  readonly letsWaitMs?: number;
}

/** The slots of a server; one that is freed goes to the request that has waited longest. */
class Slots {
  private usedCount = 0;
  private readonly waiting: (() => void)[] = [];

  constructor(private readonly count: number) {}

  get areUsed(): boolean {
    return this.usedCount >= this.count;
  }

  async take(): Promise<void> {
    if (this.areUsed) await new Promise<void>((resolve) => this.waiting.push(resolve));
    else this.usedCount += 1;
  }

  free(): void {
    const next = this.waiting.shift();
    if (next === undefined) this.usedCount -= 1;
    else next();
  }
}

/**
 * Runs as many concurrent requests as there are slots and rejects the others; crashes when it has rejected
 * more in a second than its limit.
 */
export function createBrittleBehaviour(
  { slotsCount, workMs, downMs, letsWaitMs = 0 }: BrittleOptions,
  answerTo: (call: backendServers.ReceivedCall) => string = () => "done",
): backendServers.Behaviour {
  const slots = new Slots(slotsCount);
  const letsWaitUntilMs = performance.now() + letsWaitMs;
  let rejectedAtMs: number[] = [];
  return async (call, response, server) => {
    const nowMs = performance.now();
    if (slots.areUsed && nowMs >= letsWaitUntilMs) {
      rejectedAtMs = [...rejectedAtMs.filter((atMs) => nowMs - atMs < 1_000), nowMs];
      if (rejectedAtMs.length > (server.maxRejectionsPerSecond ?? Infinity)) {
        rejectedAtMs = [];
        await server.crashAndRestart(downMs);
        return;
      }
      response.writeHead(503, { ...server.createAnswerHeaders(call), [HEADERS.notRun]: "1" }).end();
      return;
    }
    await slots.take();
    if (!response.destroyed) {
      server.runs.push(call.id);
      await new Promise((resolve) => setTimeout(resolve, workMs));
    }
    slots.free();
    if (!response.destroyed) backendServers.sendAnswer(answerTo(call), call, response, server);
  };
}
