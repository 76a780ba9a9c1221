import type * as hapi from "@hapi/hapi";
import * as zod from "zod";

import type * as clocks from "../../../src/_lib/clock/index.js";
import type * as randoms from "../../../src/_lib/random/index.js";
import * as backends from "../../../src/backends/index.js";
import * as httpStandIn from "../../_lib/httpStandIn/index.js";
import * as refusals from "../../_lib/refuse.js";
import * as faults from "../../faults/index.js";
import * as eventStreams from "../eventStream/index.js";
import * as models from "../model/index.js";
import * as types from "../types.js";

const MAX_BODY_BYTES = 67_108_864;

const DEFAULT_TERMINATION_NOTICE_MS = 5_000;

const streamQuery = zod.object({
  attempt: zod.coerce.number().int().min(0),
  from: zod.coerce.number().int().min(0).default(0),
});

const cacheQuery = zod.object({ after: zod.coerce.number().int().default(0) });

/** Kinds of requests about a stream. */
export enum StreamAction {
  Start = "start",
  Resume = "resume",
  Cancel = "cancel",
}

/** One request about a stream, as the engine received it. */
export interface ReceivedAction {
  readonly action: StreamAction;
  readonly requestId: string;
  readonly attempt: number;
  readonly fromOffset: number;
}

/** A stand-in model engine over HTTP with server-sent events in the OpenAI format. */
export class EngineServer extends httpStandIn.HttpStandIn {
  readonly model: models.EngineModel;
  /** Well-formed requests about streams, in order of arrival; tests and scenarios check them. */
  readonly received: ReceivedAction[] = [];
  /** The current response of each stream; resuming a stream replaces its response. */
  private readonly openStreams = new Map<string, eventStreams.EventStream>();

  constructor(
    options: httpStandIn.HttpStandInOptions,
    clock: clocks.Clock,
    random: randoms.RandomSource,
    modelOptions: types.EngineModelOptions,
  ) {
    super(options, clock);
    this.model = new models.EngineModel(modelOptions, this.clock, random);
    this.addFaults();
    this.addRoutes();
  }

  private addFaults(): void {
    const close = this.faultHandlers[faults.FaultKind.Kill];
    const open = this.healHandlers[faults.FaultKind.Kill];
    this.faultHandlers[faults.FaultKind.Kill] = async (fault) => {
      this.model.inject(types.EngineFault.Dead);
      await close?.(fault);
    };
    this.healHandlers[faults.FaultKind.Kill] = async () => {
      this.model.heal(types.EngineFault.Dead);
      await open?.();
    };
    this.faultHandlers[faults.FaultKind.Reclaim] = (fault) => {
      const noticeMs = fault.durationMs ?? DEFAULT_TERMINATION_NOTICE_MS;
      this.model.reclaim(noticeMs);
      this.clock.schedule(noticeMs, () => void close?.(fault));
    };
    this.faultHandlers[faults.FaultKind.Stall] = () => this.model.inject(types.EngineFault.Stalled);
    this.healHandlers[faults.FaultKind.Stall] = () => this.model.heal(types.EngineFault.Stalled);
    const silence = this.faultHandlers[faults.FaultKind.Silence];
    this.faultHandlers[faults.FaultKind.Silence] = async (fault) => {
      this.model.inject(types.EngineFault.Silent);
      await silence?.(fault);
    };
  }

  private addRoutes(): void {
    const payload = { maxBytes: MAX_BODY_BYTES };
    this.server.route([
      {
        method: "POST",
        path: "/v1/completions",
        options: { payload },
        handler: (request, h) => this.startStream(request, h),
      },
      {
        method: "GET",
        path: "/v1/streams/{id}",
        handler: (request, h) => this.resumeStream(request, h),
      },
      {
        method: "DELETE",
        path: "/v1/streams/{id}",
        handler: (request, h) => this.cancel(request, h),
      },
      { method: "GET", path: "/v1/load", handler: () => this.loadReport() },
      {
        method: "GET",
        path: "/v1/cache/events",
        handler: (request, h) => this.cacheEvents(request, h),
      },
      {
        method: "POST",
        path: "/v1/orders",
        handler: (request, h) => this.order(request, h),
      },
    ]);
  }

  private startStream(request: hapi.Request, h: hapi.ResponseToolkit): hapi.Lifecycle.ReturnValue {
    const body = backends.engineWire.completion.safeParse(request.payload);
    if (!body.success) return this.refuseMalformed(h, body.error);
    const engineRequest = backends.engineWire.decodeCompletion(body.data);
    const { requestId, attempt, prefixTokens } = engineRequest;
    const fromOffset = prefixTokens.length;
    this.received.push({ action: StreamAction.Start, requestId, attempt, fromOffset });
    const stream = this.createStream(requestId, attempt, fromOffset, request);
    const started = this.model.start(engineRequest, stream);
    if (started.isErr()) return refusals.refuse(h, started.error);
    stream.begin();
    return h.abandon;
  }

  private resumeStream(request: hapi.Request, h: hapi.ResponseToolkit): hapi.Lifecycle.ReturnValue {
    const query = streamQuery.safeParse(request.query);
    if (!query.success) return this.refuseMalformed(h, query.error);
    const { attempt, from } = query.data;
    const requestId = readRequestId(request);
    this.received.push({ action: StreamAction.Resume, requestId, attempt, fromOffset: from });
    const stream = this.createStream(requestId, attempt, from, request);
    const resumed = this.model.resume(requestId, attempt, from, stream);
    if (resumed.isErr()) return refusals.refuse(h, resumed.error);
    stream.begin();
    return h.abandon;
  }

  private cancel(request: hapi.Request, h: hapi.ResponseToolkit): hapi.ResponseObject {
    const query = streamQuery.safeParse(request.query);
    if (!query.success) return this.refuseMalformed(h, query.error);
    const requestId = readRequestId(request);
    const { attempt } = query.data;
    this.received.push({ action: StreamAction.Cancel, requestId, attempt, fromOffset: 0 });
    this.model.cancel(requestId, attempt);
    return h.response({ cancelled: true });
  }

  private loadReport(): zod.infer<typeof backends.engineWire.loadReport> {
    const { takenAtMs, ...report } = this.model.loadReport();
    const loadedModels = report.loadedModels.map((loaded) => ({
      ...loaded,
      adapters: [...loaded.adapters],
    }));
    const ageMs = this.clock.nowMs() - takenAtMs;
    return { ...report, ageMs, loadedModels, running: [...report.running] };
  }

  private cacheEvents(request: hapi.Request, h: hapi.ResponseToolkit): hapi.ResponseObject {
    const query = cacheQuery.safeParse(request.query);
    if (!query.success) return this.refuseMalformed(h, query.error);
    return h.response({ events: this.model.cache.eventsAfter(query.data.after) });
  }

  private order(request: hapi.Request, h: hapi.ResponseToolkit): hapi.ResponseObject {
    const body = backends.engineWire.order.safeParse(request.payload);
    if (!body.success) return this.refuseMalformed(h, body.error);
    const executed = this.model.orders.execute(body.data as backends.EngineOrder);
    return executed.match(
      () => h.response({ accepted: true }),
      (error) => refusals.refuse(h, error),
    );
  }

  private createStream(
    requestId: string,
    attempt: number,
    fromOffset: number,
    request: hapi.Request,
  ): eventStreams.EventStream {
    const { res } = request.raw;
    const key = `${requestId}/${attempt}`;
    const stream = new eventStreams.EventStream(res, requestId, fromOffset, (offset) => {
      const isCurrent = this.openStreams.get(key) === stream;
      if (isCurrent) this.model.resume(requestId, attempt, offset, stream);
    });
    this.openStreams.set(key, stream);
    res.once("close", () => {
      if (this.openStreams.get(key) === stream) this.openStreams.delete(key);
    });
    return stream;
  }

  private refuseMalformed(h: hapi.ResponseToolkit, error: zod.ZodError): hapi.ResponseObject {
    return refusals.refuse(
      h,
      refusals.createInvalidRequestError(this.name, zod.prettifyError(error)),
    );
  }
}

function readRequestId(request: hapi.Request): string {
  const params = request.params as { readonly id: string };
  return params.id;
}
