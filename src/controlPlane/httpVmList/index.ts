import "reflect-metadata";

import * as neverthrow from "neverthrow";
import * as tsyringe from "tsyringe";
import * as zod from "zod";

import type * as stepError from "../../_lib/stepError/index.js";
import * as tokens from "../../_lib/tokens/index.js";
import type * as settings from "../../settings/index.js";
import * as platformReaders from "../_lib/platformReader.js";
import * as types from "../types.js";

const PEER = "vm-list";

const listAnswer = zod.object({
  vms: zod.array(
    zod.object({
      name: zod.string(),
      dataCentre: zod.string(),
      address: zod.string(),
      listing: zod.enum(types.VmListing),
    }),
  ),
});

/** Client of the platform's list of VMs over HTTP; the list is empty if no address is set. */
@tsyringe.injectable()
export class HttpVmList implements types.VmList, Disposable {
  private readonly reader = new platformReaders.PlatformReader(PEER);

  constructor(
    @tsyringe.inject(tokens.TOKENS.settings)
    private readonly options: Pick<settings.Settings, "platform">,
  ) {}

  async list(): Promise<neverthrow.Result<readonly types.ListedVm[], stepError.StepError>> {
    const { vmListUrl, requestTimeoutMs } = this.options.platform;
    if (vmListUrl === undefined) return neverthrow.ok([]);
    const answer = await this.reader.get(
      "vm-list.read",
      `${vmListUrl}/vms`,
      listAnswer,
      requestTimeoutMs,
    );
    return answer.map((body) => body.vms);
  }

  [Symbol.dispose](): void {
    this.reader[Symbol.dispose]();
  }
}
