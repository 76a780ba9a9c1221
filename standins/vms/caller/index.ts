import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import * as generations from "../../../src/generations/index.js";
import * as vms from "../index.js";

/** What a caller saw and when. */
export class Caller {
  readonly tokens: string[] = [];
  readonly arrivedAtMs: number[] = [];
  finishReason: string | null = null;
  error: stepError.StepError | null = null;
  refusal: stepError.StepError | null = null;
  /** Whether the request was accepted, as far as the caller was told. */
  isAccepted = false;
  /** Frames that did not begin where the one before them ended. */
  misplacedFramesCount = 0;
  /** Set while the caller takes nothing from its connection. */
  isStopped = false;
  private connection = 0;
  private iterator: AsyncIterator<generations.TokenFrame> | null = null;
  private goOn: () => void = () => undefined;

  constructor(
    private readonly group: vms.VmGroup,
    readonly requestId: string,
  ) {}

  get isDone(): boolean {
    return this.finishReason !== null || this.error !== null || this.refusal !== null;
  }

  /** Submits at a VM and reads the answer. */
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

  /** Leaves whatever connection there is and comes back at a VM, from the last token seen. */
  async attach(vmName: string): Promise<void> {
    this.detach();
    this.error = null;
    const result = await this.group.vm(vmName).service.attach(this.requestId, "account");
    if (this.group.isDown(vmName)) return;
    if (result.isErr()) this.error = result.error;
    else await this.read(result.value, vmName);
  }

  /** Takes from the connection again. */
  resume(): void {
    this.isStopped = false;
    this.goOn();
  }

  /** Stops reading. */
  detach(): void {
    this.connection += 1;
    void this.iterator?.return?.();
    this.iterator = null;
  }

  private async read(handle: generations.GenerationHandle, vmName: string): Promise<void> {
    this.connection += 1;
    const { connection } = this;
    try {
      const frames = handle.readFrames(this.tokens.length);
      const iterator = frames[Symbol.asyncIterator]();
      this.iterator = iterator;
      for (;;) {
        const step = await iterator.next();
        if (step.done === true || connection !== this.connection) return;
        if (this.group.isDown(vmName)) return;
        this.take(step.value);
        if (this.isStopped) await new Promise<void>((resolve) => (this.goOn = resolve));
      }
    } catch (error) {
      if (connection !== this.connection || this.group.isDown(vmName)) return;
      if (!(error instanceof stepError.StepError)) throw error;
      this.error = error;
    }
  }

  private take(frame: generations.TokenFrame): void {
    if (frame.offset !== this.tokens.length) this.misplacedFramesCount += 1;
    for (const token of frame.tokens) {
      this.tokens.push(token);
      this.arrivedAtMs.push(this.group.clock.nowMs());
    }
    this.finishReason = frame.finishReason;
  }
}

/** Whether tokens are those of one sampling, each once and in order. */
export function isOneSampling(tokens: readonly string[]): boolean {
  const mark = tokens[0]?.trim().split(".")[0];
  return tokens.every((token, offset) => token === ` ${mark}.${offset}`);
}

/** Starts a generation at a VM and lets it run until some tokens have been delivered. */
export async function startAt(
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

/** The longest time between two tokens. */
export function longestGapMs(caller: Caller): number {
  let longestMs = 0;
  let previousMs = caller.arrivedAtMs[0] ?? 0;
  for (const atMs of caller.arrivedAtMs) {
    longestMs = Math.max(longestMs, atMs - previousMs);
    previousMs = atMs;
  }
  return longestMs;
}

/** The home of an engine of the first data centre, and all other VMs. */
export function homeAndOthers(group: vms.VmGroup, engineName: string): [string, ...string[]] {
  const names = [...group.vms.keys()];
  const members = group.vm(names[0] ?? "").fleet.members();
  const home = generations.selectHome({ name: engineName, dataCentre: "dc1" }, members);
  if (home === null) throw new Error(`engine ${engineName} has no home`);
  return [home, ...names.filter((name) => name !== home)];
}
