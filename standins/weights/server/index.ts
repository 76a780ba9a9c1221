import type * as clocks from "../../../src/_lib/clock/index.js";
import * as httpStandIn from "../../_lib/httpStandIn/index.js";
import * as models from "../model/index.js";

/** The weight store's status over HTTP; stand-in engines reserve loads directly at the model. */
export class WeightStoreServer extends httpStandIn.HttpStandIn {
  readonly model: models.WeightStoreModel;

  constructor(
    options: httpStandIn.HttpStandInOptions,
    clock: clocks.Clock,
    loadsPerMinuteLimit: number,
  ) {
    super(options, clock);
    this.model = new models.WeightStoreModel(this.clock, loadsPerMinuteLimit);
    this.server.route({ method: "GET", path: "/status", handler: () => this.model.status() });
  }
}
