import * as neverthrow from "neverthrow";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as platform from "../../../src/controlPlane/types.js";
import type * as gate from "../../vmGate/index.js";
import type * as logModel from "../model/index.js";

/** A VM's log: the shared one, through a link that can be cut for this VM alone. */
export class LogLink implements platform.LogService {
  isCut = false;
  /** An append's answer is lost, and the append takes effect only after this time. */
  lateByMs = 0;
  readsCount = 0;

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
    await this.vmGate.pass();
    if (this.lateByMs > 0) {
      this.clock.schedule(this.lateByMs, () => void this.log.append(stream, payloads));
      return neverthrow.err(LOST_ANSWER);
    }
    const result = await (this.isCut ? this.downLog : this.log).append(stream, payloads);
    await this.vmGate.pass();
    return this.isDown() && result.isOk() ? neverthrow.err(LOST_ANSWER) : result;
  }

  async read(
    stream: platform.LogStream,
    fromOffset: number,
    options?: platform.LogReadOptions,
  ): ReturnType<platform.LogService["read"]> {
    this.readsCount += 1;
    await this.vmGate.pass();
    if (this.isCut) return this.downLog.read(stream, fromOffset);
    const result = await this.log.read(stream, fromOffset, options);
    await this.vmGate.pass();
    return this.isDown() ? this.downLog.read(stream, fromOffset) : result;
  }

  /** Asked anew after each wait, since the link may have been cut meanwhile. */
  private isDown(): boolean {
    return this.isCut;
  }
}

const LOST_ANSWER = new stepError.StepError("the answer to the append was lost", {
  code: stepError.ErrorCode.PlatformUnavailable,
  step: "log.append",
  peer: "log",
  execution: stepError.ExecutionState.Unknown,
});
