import * as neverthrow from "neverthrow";

import * as stepError from "../../../src/_lib/stepError/index.js";
import type * as backends from "../../../src/backends/types.js";
import type * as catalogue from "../../../src/catalogue/types.js";
import type * as gatedPlatform from "../gatedPlatform/index.js";

/** Clients of plain services for one VM; calls fail while the VM is dead or partitioned. */
export class GatedServiceClients implements backends.ServiceClients {
  constructor(
    private readonly inner: backends.ServiceClients,
    private readonly link: gatedPlatform.VmLinks,
  ) {}

  clientFor(backend: catalogue.ServiceBackend): backends.ServiceClient {
    const inner = this.inner.clientFor(backend);
    const { gate, links, self } = this.link;
    const isUnreachable = (): boolean => gate.isDead || links.isPartitioned(self, backend);
    return {
      name: inner.name,
      call: async (request) => {
        await gate.waitUntilResumed();
        if (isUnreachable()) {
          return neverthrow.err(
            createUnreachableError(inner.name, stepError.ExecutionState.NotRun),
          );
        }
        const answer = await inner.call(request);
        await gate.waitUntilResumed();
        if (!isUnreachable()) return answer;
        return neverthrow.err(createUnreachableError(inner.name, stepError.ExecutionState.Unknown));
      },
    };
  }
}

function createUnreachableError(
  peer: string,
  execution: stepError.ExecutionState,
): stepError.StepError {
  return new stepError.StepError("the scenario makes the service unreachable for this VM", {
    code: stepError.ErrorCode.BackendFailed,
    step: "service.call",
    peer,
    execution,
  });
}
