import * as stream from "node:stream";

import type * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import * as catalogue from "../../catalogue/index.js";
import type * as generations from "../../generations/types.js";
import type * as telemetry from "../../telemetry/types.js";
import * as completionEvents from "../completionEvents/index.js";
import * as constants from "../constants.js";
import * as problems from "../createProblem/index.js";
import * as schemas from "../requestSchema/index.js";
import type * as types from "../types.js";
import * as admission from "./admitCaller.js";
import * as authentication from "./authenticateAccount.js";
import * as errors from "./errors.js";
import * as hapiServers from "./hapiServer.js";

/** The generation, the first offset and the callbacks with which one answer is sent. */
interface AnswerTarget {
  readonly head: completionEvents.EventHead;
  readonly handle: generations.GenerationHandle;
  readonly fromOffset: number;
  /** Estimated number of prompt tokens, for the usage of a complete answer. */
  readonly promptTokens: number;
  /** Called with the number of tokens of each frame before it is sent. */
  readonly onTokens: (count: number) => void;
  readonly tracer: telemetry.Tracer;
  /** Aborted when the caller has closed its connection. */
  readonly signal: AbortSignal;
  /** Called once, however the answer ends. */
  readonly onEnd: () => void;
}

/** Creates the handler of `POST /v1/completions`, which submits a generation and sends its answer. */
export function createCompletionHandler(parts: types.CallerServerParts): hapi.Lifecycle.Method {
  return async (request, h) => {
    const requestId = parts.createRequestId();
    const body = schemas.parseCompletionBody(request.payload as Buffer);
    if (body.isErr()) return hapiServers.sendProblem(h, body.error, requestId);
    const admitted = await admission.admitCaller(
      parts,
      request,
      body.value.model,
      catalogue.findGenerationEntry,
    );
    if (admitted.isErr()) return sendRefusal(parts, h, admitted.error, requestId);
    const { permit, account, entry } = admitted.value;
    parts.tracer.record(requestId, {
      step: "request.received",
      reason: `entry ${entry.name}, class ${entry.class}, account ${account.name}`,
    });
    const submitted = await submit(parts, requestId, body.value, admitted.value);
    if (submitted.isErr()) {
      permit[Symbol.dispose]();
      return sendRefusal(parts, h, submitted.error, requestId);
    }
    const target: AnswerTarget = {
      head: { requestId, entryName: body.value.model },
      handle: submitted.value,
      fromOffset: 0,
      promptTokens: estimatePromptTokens(body.value.prompt),
      onTokens: (count) => permit.spendTokens(count),
      tracer: parts.tracer,
      signal: createCallerSignal(request),
      onEnd: () => permit[Symbol.dispose](),
    };
    return body.value.stream === true ? sendStream(h, target) : sendCompleteAnswer(h, target);
  };
}

/** Sends a refusal and records its reason in the request's trace. */
function sendRefusal(
  parts: types.CallerServerParts,
  h: hapi.ResponseToolkit,
  error: stepError.StepError,
  requestId: string,
): hapi.ResponseObject {
  parts.tracer.record(requestId, {
    step: "request.refused",
    reason: `${error.step}: ${error.message} (${error.execution})`,
    ...(error.peer === undefined ? {} : { backend: error.peer }),
  });
  parts.metrics.increment("requests_refused", 1, { code: error.code });
  return hapiServers.sendProblem(h, error, requestId);
}

/** Creates the handler of `GET /v1/requests/{id}`, which resumes an answer after the last event. */
export function createAttachHandler(parts: types.CallerServerParts): hapi.Lifecycle.Method {
  return async (request, h) => {
    const requestId = String(request.params.id);
    const { headers } = request.raw.req;
    const account = authentication.authenticateAccount(request, parts.catalogue.current());
    if (account.isErr()) return hapiServers.sendProblem(h, account.error, requestId);
    const offset = schemas.parseLastEventId(
      headers["last-event-id"] as string | undefined,
      requestId,
    );
    if (offset.isErr()) return hapiServers.sendProblem(h, offset.error, requestId);
    const attached = await parts.generations.attach(requestId, account.value.name);
    if (attached.isErr()) return hapiServers.sendProblem(h, attached.error, requestId);
    const target: AnswerTarget = {
      head: { requestId, entryName: "" },
      handle: attached.value,
      fromOffset: offset.value,
      promptTokens: 0,
      onTokens: () => undefined,
      tracer: parts.tracer,
      signal: createCallerSignal(request),
      onEnd: () => undefined,
    };
    const isJsonRequested = headers.accept === "application/json";
    return isJsonRequested ? sendCompleteAnswer(h, target) : sendStream(h, target);
  };
}

async function submit(
  parts: types.CallerServerParts,
  requestId: string,
  body: schemas.CompletionBody,
  { account, entry }: admission.AdmittedCaller<catalogue.GenerationEntry>,
): Promise<neverthrow.Result<generations.GenerationHandle, stepError.StepError>> {
  const maxTokens = body.max_tokens ?? entry.maxTokens;
  if (maxTokens > entry.maxTokens) {
    const message = `max_tokens: entry "${entry.name}" allows at most ${entry.maxTokens}`;
    return neverthrow.err(
      errors.createRefusal(stepError.ErrorCode.InvalidRequest, "request.parse", message),
    );
  }
  const deadlineMs = Math.min(body.deadline_ms ?? entry.deadlineMs, entry.deadlineMs);
  try {
    return await parts.generations.submit({
      requestId,
      entry,
      accountName: account.name,
      prompt: body.prompt,
      promptTokens: estimatePromptTokens(body.prompt),
      maxTokens,
      isStreamed: body.stream === true,
      deadlineAtWallMs: parts.clock.wallTimeMs() + deadlineMs,
    });
  } catch (error) {
    return neverthrow.err(errors.toStepError(error, "generations.submit"));
  }
}

/** Creates a signal that is aborted if the caller's connection closes before the answer is sent. */
function createCallerSignal(request: hapi.Request): AbortSignal {
  const controller = new AbortController();
  const { res } = request.raw;
  res.once("close", () => {
    if (!res.writableFinished) controller.abort(createCallerClosedError());
  });
  return controller.signal;
}

function createCallerClosedError(): stepError.StepError {
  return new stepError.StepError("the caller closed its connection", {
    code: stepError.ErrorCode.Interrupted,
    step: "http.send",
    peer: "caller",
    execution: stepError.ExecutionState.Unknown,
  });
}

function sendStream(h: hapi.ResponseToolkit, target: AnswerTarget): hapi.ResponseObject {
  const body = stream.Readable.from(streamEvents(target), { objectMode: false });
  body.once("close", target.onEnd);
  return h
    .response(body)
    .type(constants.EVENT_STREAM_MEDIA_TYPE)
    .header("cache-control", "no-store")
    .header("x-request-id", target.head.requestId);
}

async function* streamEvents(target: AnswerTarget): AsyncGenerator<string> {
  const { requestId } = target.head;
  try {
    for await (const frame of target.handle.readFrames(target.fromOffset, target.signal)) {
      target.onTokens(frame.tokens.length);
      traceCompletion(target, frame);
      yield completionEvents.formatFrame(target.head, frame);
    }
  } catch (error) {
    const failure = errors.toStepError(error, "generations.frames");
    traceFailure(target, failure);
    yield completionEvents.formatProblem(problems.createProblem(failure, requestId));
  }
}

async function sendCompleteAnswer(
  h: hapi.ResponseToolkit,
  target: AnswerTarget,
): Promise<hapi.ResponseObject> {
  const { requestId } = target.head;
  const tokens: string[] = [];
  try {
    for await (const frame of target.handle.readFrames(target.fromOffset, target.signal)) {
      target.onTokens(frame.tokens.length);
      tokens.push(...frame.tokens);
      if (frame.finishReason === null) continue;
      traceCompletion(target, frame);
      const completion = completionEvents.formatCompletion(
        target.head,
        target.promptTokens,
        tokens,
        frame.finishReason,
      );
      return h.response(completion).header("x-request-id", requestId);
    }
    throw createIncompleteAnswerError(tokens.length);
  } catch (error) {
    const failure = errors.toStepError(error, "generations.frames");
    traceFailure(target, failure);
    return hapiServers.sendProblem(h, failure, requestId);
  } finally {
    target.onEnd();
  }
}

/** Records a completed answer in the request's trace, just before its final frame is sent. */
function traceCompletion({ tracer, head }: AnswerTarget, frame: generations.TokenFrame): void {
  if (frame.finishReason === null) return;
  tracer.record(head.requestId, {
    step: "request.answered",
    offset: frame.offset + frame.tokens.length,
    reason: `the complete answer is sent, finish reason ${frame.finishReason}`,
  });
}

function traceFailure({ tracer, head }: AnswerTarget, error: stepError.StepError): void {
  tracer.record(head.requestId, {
    step: "request.interrupted",
    reason: `${error.step}: ${error.message}`,
    ...(error.deliveredTokens === undefined ? {} : { offset: error.deliveredTokens }),
  });
}

function createIncompleteAnswerError(tokensCount: number): stepError.StepError {
  return new stepError.StepError("the answer ended without a finish reason", {
    code: stepError.ErrorCode.Interrupted,
    step: "generations.frames",
    execution: stepError.ExecutionState.Ran,
    deliveredTokens: tokensCount,
  });
}

function estimatePromptTokens(prompt: string): number {
  return Math.ceil(Buffer.byteLength(prompt) / constants.BYTES_PER_TOKEN);
}
