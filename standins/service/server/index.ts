import type * as hapi from "@hapi/hapi";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as httpStandIn from "../../_lib/httpStandIn/index.js";
import * as models from "../model/index.js";

/** A stand-in server of a plain service: executes every call; `GET .../by-key/{key}` finds an execution. */
export class ServiceServer extends httpStandIn.HttpStandIn {
  readonly model: models.ServiceModel;

  /** @param model - shared by the servers of one service */
  constructor(
    options: httpStandIn.HttpStandInOptions,
    clock: clocks.Clock,
    model = new models.ServiceModel(),
  ) {
    super(options, clock);
    this.model = model;
    this.server.route([
      {
        method: "GET",
        path: "/{collection}/by-key/{key}",
        handler: (request, h) => this.lookUp(request, h),
      },
      {
        method: ["POST", "PUT", "PATCH", "DELETE"],
        path: "/{path*}",
        options: { payload: { parse: false, output: "data" } },
        handler: (request, h) => this.run(request, h),
      },
    ]);
  }

  private run(request: hapi.Request, h: hapi.ResponseToolkit): hapi.ResponseObject {
    const key: unknown = request.headers["idempotency-key"];
    const body = Buffer.isBuffer(request.payload) ? request.payload.toString("utf8") : "";
    const keyText = typeof key === "string" ? key : null;
    return h.response(describeRun(this.model.run(request.method, request.path, keyText, body)));
  }

  private lookUp(request: hapi.Request, h: hapi.ResponseToolkit): hapi.ResponseObject {
    const params = request.params as { readonly key: string };
    const run = this.model.findByKey(params.key);
    if (run === undefined) return h.response({ error: "no such key" }).code(404);
    return h.response(describeRun(run));
  }
}

function describeRun(run: models.ServiceRun): { run: number; key: string | null; body: string } {
  return { run: run.number, key: run.key, body: run.body };
}
