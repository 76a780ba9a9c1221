import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as generations from "../../../src/generations/index.js";
import * as vms from "../index.js";

/** A caller that records the tokens it receives and their times. */
export class Caller {
  readonly tokens: string[] = [];
  readonly arrivedAtMs: number[] = [];
  finishReason: string | null = null;
  error: stepError.StepError | null = null;
  refusal: stepError.StepError | null = null;
  /** Whether the VM reported to the caller that it accepted the request. */
  isAccepted = false;
  /** Number of frames whose offset differed from the number of tokens received before. */
  offsetMismatchesCount = 0;
  /** While set, the caller does not read from its connection. */
  isReadingPaused = false;
  private connectionNumber = 0;
  private iterator: AsyncIterator<generations.TokenFrame> | null = null;
  private resumeReading: () => void = () => undefined;

  constructor(
    private readonly group: vms.VmGroup,
    readonly requestId: string,
  ) {}

  /** Whether the answer has finished, failed or been refused. */
  get isDone(): boolean {
    return this.finishReason !== null || this.error !== null || this.refusal !== null;
  }

  /** Submits the request to a VM and reads the answer; `overrides` replaces fields of its entry. */
  async submit(vmName: string, overrides: Partial<catalogue.GenerationEntry> = {}): Promise<void> {
    const entry = vms.createEntry(overrides);
    const result = await this.group.vm(vmName).service.submit({
      requestId: this.requestId,
      entry,
      accountName: "account",
      prompt: `prompt of ${this.requestId}`,
      promptTokens: 20,
      maxTokens: entry.maxTokens,
      isStreamed: true,
      deadlineAtWallMs: this.group.clock.wallTimeMs() + entry.deadlineMs,
    });
    if (this.group.isDown(vmName)) return;
    if (result.isErr()) {
      this.refusal = result.error;
      return;
    }
    this.isAccepted = true;
    await this.read(result.value, vmName);
  }

  /** Closes the current connection and reattaches at a VM, continuing after the last received token. */
  async attach(vmName: string): Promise<void> {
    this.detach();
    this.error = null;
    const result = await this.group.vm(vmName).service.attach(this.requestId, "account");
    if (this.group.isDown(vmName)) return;
    if (result.isErr()) this.error = result.error;
    else await this.read(result.value, vmName);
  }

  /** Clears `isStopped` and continues to read from the connection. */
  resume(): void {
    this.isReadingPaused = false;
    this.resumeReading();
  }

  /** Closes the connection, if there is one. */
  detach(): void {
    this.connectionNumber += 1;
    void this.iterator?.return?.();
    this.iterator = null;
  }

  private async read(handle: generations.GenerationHandle, vmName: string): Promise<void> {
    this.connectionNumber += 1;
    const { connectionNumber } = this;
    try {
      const frames = handle.readFrames(this.tokens.length);
      const iterator = frames[Symbol.asyncIterator]();
      this.iterator = iterator;
      for (;;) {
        const step = await iterator.next();
        if (step.done === true || connectionNumber !== this.connectionNumber) return;
        if (this.group.isDown(vmName)) return;
        this.recordFrame(step.value);
        if (this.isReadingPaused)
          await new Promise<void>((resolve) => (this.resumeReading = resolve));
      }
    } catch (error) {
      if (connectionNumber !== this.connectionNumber || this.group.isDown(vmName)) return;
      if (!(error instanceof stepError.StepError)) throw error;
      this.error = error;
    }
  }

  private recordFrame(frame: generations.TokenFrame): void {
    if (frame.offset !== this.tokens.length) this.offsetMismatchesCount += 1;
    for (const token of frame.tokens) {
      this.tokens.push(token);
      this.arrivedAtMs.push(this.group.clock.nowMs());
    }
    this.finishReason = frame.finishReason;
  }
}

/** Whether the tokens all come from one sampling, each once and in order. */
export function isSingleSampling(tokens: readonly string[]): boolean {
  const mark = tokens[0]?.trim().split(".")[0];
  return tokens.every((token, offset) => token === ` ${mark}.${offset}`);
}

/** Settles the group, submits a generation to a VM and runs the clock for 500 ms, so that some tokens arrive. */
export async function startGenerationAt(
  group: vms.VmGroup,
  vmName: string,
  overrides: Partial<catalogue.GenerationEntry> = {},
): Promise<Caller> {
  await group.settle();
  const caller = new Caller(group, group.vm(vmName).service.createRequestId());
  void caller.submit(vmName, overrides);
  await group.clock.runForMs(500);
  return caller;
}

/** Returns the longest time between two tokens in milliseconds. */
export function computeLongestGapMs(caller: Caller): number {
  let longestMs = 0;
  let previousMs = caller.arrivedAtMs[0] ?? 0;
  for (const atMs of caller.arrivedAtMs) {
    longestMs = Math.max(longestMs, atMs - previousMs);
    previousMs = atMs;
  }
  return longestMs;
}

/** Lists the names of all VMs, first the home of an engine in data centre `dc1`; throws if it has no home. */
export function listHomeFirst(group: vms.VmGroup, engineName: string): [string, ...string[]] {
  const names = [...group.vms.keys()];
  const members = group.vm(names[0] ?? "").fleet.members();
  const home = generations.selectHome({ name: engineName, dataCentre: "dc1" }, members);
  if (home === null) throw new Error(`engine ${engineName} has no home`);
  return [home, ...names.filter((name) => name !== home)];
}
