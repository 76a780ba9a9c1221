import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as platform from "../../../src/controlPlane/types.js";
import type * as gate from "../../vmGate/index.js";
import type * as logModel from "../model/index.js";

/** A VM's connection to the shared log, which can be partitioned for this VM alone. */
export class LogLink implements platform.LogService {
  /** While set, this VM cannot reach the log. */
  isPartitioned = false;
  /** While set, reads state where the log ends, but return no records. */
  withholdsRecords = false;
  /** If positive, an append fails with a lost answer and takes effect only after this time in milliseconds. */
  appendDelayMs = 0;
  /** Number of reads, including failed ones. */
  readsCount = 0;

  /** @param downLog - a log with a Down fault; it answers while this VM is partitioned */
  constructor(
    private readonly log: logModel.LogModel,
    private readonly downLog: logModel.LogModel,
    private readonly vmGate: gate.Gate,
    private readonly clock: clocks.Clock,
  ) {}

  async append(
    stream: platform.LogStream,
    payloads: readonly unknown[],
  ): ReturnType<platform.LogService["append"]> {
    await this.vmGate.waitUntilResumed();
    if (this.appendDelayMs > 0) {
      this.clock.schedule(this.appendDelayMs, () => void this.log.append(stream, payloads));
      return neverthrow.err(LOST_ANSWER);
    }
    const result = await (this.isPartitioned ? this.downLog : this.log).append(stream, payloads);
    await this.vmGate.waitUntilResumed();
    return this.isDown() && result.isOk() ? neverthrow.err(LOST_ANSWER) : result;
  }

  async read(
    stream: platform.LogStream,
    fromOffset: number,
    options?: platform.LogReadOptions,
  ): ReturnType<platform.LogService["read"]> {
    this.readsCount += 1;
    await this.vmGate.waitUntilResumed();
    if (this.isPartitioned) return this.downLog.read(stream, fromOffset);
    const result = await this.log.read(stream, fromOffset, options);
    await this.vmGate.waitUntilResumed();
    if (this.isDown()) return this.downLog.read(stream, fromOffset);
    return this.withholdsRecords ? result.map((batch) => ({ ...batch, records: [] })) : result;
  }

  /** Whether the VM is partitioned from the log; reads the flag again, since it can change during a wait. */
  private isDown(): boolean {
    return this.isPartitioned;
  }
}

const LOST_ANSWER = new stepError.StepError("the answer to the append was lost", {
  code: stepError.ErrorCode.PlatformUnavailable,
  step: "log.append",
  peer: "log",
  execution: stepError.ExecutionState.Unknown,
});
