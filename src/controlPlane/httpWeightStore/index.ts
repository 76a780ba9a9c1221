import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";
import * as zod from "zod";

import * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as settings from "../../settings/index.js";
import * as platformReaders from "../_lib/platformReader.js";
import type * as types from "../types.js";

const PEER = "weight-store";

const statusAnswer = zod.object({
  loadsPerMinuteLimit: zod.number().min(0),
  loadsAvailableCount: zod.number().min(0),
});

/** Client of the platform's weight store over HTTP. */
@tsyringe.injectable()
export class HttpWeightStore implements types.WeightStore, Disposable {
  private readonly reader = new platformReaders.PlatformReader(PEER);

  constructor(
    @tsyringe.inject(tokens.TOKENS.settings)
    private readonly options: Pick<settings.Settings, "platform">,
  ) {}

  async status(): Promise<neverthrow.Result<types.WeightStoreStatus, stepError.StepError>> {
    const { weightStoreUrl, requestTimeoutMs } = this.options.platform;
    if (weightStoreUrl === undefined) return neverthrow.err(createNoAddressError());
    const url = `${weightStoreUrl}/status`;
    return this.reader.get("weight-store.status", url, statusAnswer, requestTimeoutMs);
  }

  [Symbol.dispose](): void {
    this.reader[Symbol.dispose]();
  }
}

function createNoAddressError(): stepError.StepError {
  return new stepError.StepError(
    "the weight store has no address: platform.weightStoreUrl is not set",
    {
      code: stepError.ErrorCode.PlatformUnavailable,
      step: "weight-store.status",
      peer: PEER,
      execution: stepError.ExecutionState.NotRun,
    },
  );
}
