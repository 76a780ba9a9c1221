import type * as hapi from "@hapi/hapi";
import * as zod from "zod";

import type * as clocks from "../../../src/_lib/clock/index.js";
import * as platform from "../../../src/controlPlane/types.js";
import * as httpStandIn from "../../_lib/httpStandIn/index.js";
import * as refusals from "../../_lib/refuse.js";
import * as models from "../model/index.js";

const params = zod.object({ stream: zod.enum(platform.LogStream) });

const appendBody = zod.object({ payloads: zod.array(zod.unknown()).min(1) });

const readQuery = zod.object({
  from: zod.coerce.number().int().min(0),
  max: zod.coerce.number().int().min(1).optional(),
  waitMs: zod.coerce.number().int().min(0).max(60_000).optional(),
});

/** The stand-in log service over HTTP, backed by a log model. */
/** Largest body of an append request. */
const MAX_APPEND_BYTES = 16_777_216;

export class LogServer extends httpStandIn.HttpStandIn {
  readonly model: models.LogModel;

  constructor(
    options: httpStandIn.HttpStandInOptions,
    clock: clocks.Clock,
    modelOptions: models.LogModelOptions = models.DEFAULT_LOG_OPTIONS,
  ) {
    super(options, clock);
    this.model = new models.LogModel(this.clock, modelOptions);
    this.server.route([
      {
        method: "POST",
        path: "/streams/{stream}/records",
        options: { payload: { maxBytes: MAX_APPEND_BYTES } },
        handler: (request, h) => this.append(request, h),
      },
      {
        method: "GET",
        path: "/streams/{stream}/records",
        handler: (request, h) => this.read(request, h),
      },
    ]);
  }

  private async append(
    request: hapi.Request,
    h: hapi.ResponseToolkit,
  ): Promise<hapi.ResponseObject> {
    const target = params.safeParse(request.params);
    const body = appendBody.safeParse(request.payload);
    if (!target.success || !body.success) return this.refuseMalformed(h);
    const result = await this.model.append(target.data.stream, body.data.payloads);
    return result.match(
      (offset) => h.response({ offset }),
      (error) => refusals.refuse(h, error),
    );
  }

  private async read(request: hapi.Request, h: hapi.ResponseToolkit): Promise<hapi.ResponseObject> {
    const target = params.safeParse(request.params);
    const query = readQuery.safeParse(request.query);
    if (!target.success || !query.success) return this.refuseMalformed(h);
    const { from, max, waitMs } = query.data;
    const disconnected = new AbortController();
    request.raw.res.once("close", () => disconnected.abort());
    const result = await this.model.read(target.data.stream, from, {
      signal: disconnected.signal,
      ...(max === undefined ? {} : { maxRecords: max }),
      ...(waitMs === undefined ? {} : { waitMs }),
    });
    return result.match(
      (batch) => h.response(batch),
      (error) => refusals.refuse(h, error),
    );
  }

  private refuseMalformed(h: hapi.ResponseToolkit): hapi.ResponseObject {
    return refusals.refuse(h, refusals.createInvalidRequestError(this.name, "malformed request"));
  }
}
