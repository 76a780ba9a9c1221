import type * as clocks from "../../../src/_lib/clock/index.js";
import * as httpStandIn from "../../_lib/httpStandIn/index.js";
import * as faults from "../../faults/index.js";
import * as models from "../model/index.js";

/** The stand-in for the platform's VM list over HTTP. */
export class VmListServer extends httpStandIn.HttpStandIn {
  readonly model: models.VmListModel;

  constructor(options: httpStandIn.HttpStandInOptions, clock: clocks.Clock) {
    super(options, clock);
    this.model = new models.VmListModel(this.clock);
    this.faultHandlers[faults.FaultKind.Lag] = (fault) => {
      this.model.lagMs = fault.durationMs ?? 0;
    };
    this.healHandlers[faults.FaultKind.Lag] = () => {
      this.model.lagMs = 0;
    };
    this.server.route({
      method: "GET",
      path: "/vms",
      handler: () => ({ vms: this.model.visible() }),
    });
  }
}
