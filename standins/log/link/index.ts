import * as neverthrow from "neverthrow";

import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as platform from "../../../src/platform/types.js";
import type * as gate from "../../vmGate/index.js";
import type * as logModel from "../model/index.js";

/** A VM's log: the shared one, through a link that can be cut for this VM alone. */
export class LogLink implements platform.LogService {
  isCut = false;
  readsCount = 0;

  constructor(
    private readonly log: logModel.LogModel,
    private readonly downLog: logModel.LogModel,
    private readonly vmGate: gate.Gate,
  ) {}

  async append(
    stream: platform.LogStream,
    payloads: readonly unknown[],
  ): ReturnType<platform.LogService["append"]> {
    await this.vmGate.pass();
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

const LOST_ANSWER = new stepError.StepError("the link was cut before the answer came", {
  code: stepError.ErrorCode.PlatformUnavailable,
  step: "log.append",
  peer: "log",
  execution: stepError.ExecutionState.Unknown,
});
