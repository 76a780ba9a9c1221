import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import type * as generations from "../../../src/generations/index.js";
import * as vms from "../index.js";

/** What a caller saw and when. */
export class Caller {
  readonly tokens: string[] = [];
  readonly arrivedAtMs: number[] = [];
  finishReason: string | null = null;
  error: stepError.StepError | null = null;
  refusal: stepError.StepError | null = null;
  /** Frames that did not begin where the one before them ended. */
  misplacedFramesCount = 0;
  private connection = 0;

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
    if (result.isErr()) this.refusal = result.error;
    else await this.read(result.value);
  }

  /** Leaves whatever connection there is and comes back at a VM, from the last token seen. */
  async attach(vmName: string): Promise<void> {
    this.detach();
    this.error = null;
    const result = await this.group.vm(vmName).service.attach(this.requestId, "account");
    if (result.isErr()) this.error = result.error;
    else await this.read(result.value);
  }

  /** Stops reading. */
  detach(): void {
    this.connection += 1;
  }

  private async read(handle: generations.GenerationHandle): Promise<void> {
    this.connection += 1;
    const { connection } = this;
    try {
      for await (const frame of handle.frames(this.tokens.length)) {
        if (connection !== this.connection) return;
        this.take(frame);
      }
    } catch (error) {
      if (connection !== this.connection) return;
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
