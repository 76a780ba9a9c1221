import type * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import type * as backends from "../../backends/types.js";
import * as catalogue from "../../catalogue/index.js";
import * as schemas from "../requestSchema/index.js";
import type * as types from "../types.js";
import * as admission from "./admitCaller.js";
import * as errors from "./errors.js";
import * as hapiServers from "./hapiServer.js";

const DEFAULT_CONTENT_TYPE = "application/octet-stream";

/** Creates the handler of `POST /v1/calls/{entry}`, which sends a call to a plain service. */
export function createCallHandler(parts: types.CallerServerParts): hapi.Lifecycle.Method {
  return async (request, h) => {
    const requestId = parts.createRequestId();
    const entryName = String(request.params.entry);
    const admitted = await admission.admitCaller(
      parts,
      request,
      entryName,
      catalogue.findCallEntry,
    );
    if (admitted.isErr()) return hapiServers.sendProblem(h, admitted.error, requestId);
    const { permit } = admitted.value;
    const answer = await callEntry(parts, request, requestId, admitted.value).finally(() =>
      permit[Symbol.dispose](),
    );
    return answer.match(
      (value) => sendAnswer(h, requestId, value),
      (error) => hapiServers.sendProblem(h, error, requestId),
    );
  };
}

async function callEntry(
  parts: types.CallerServerParts,
  request: hapi.Request,
  requestId: string,
  { account, entry }: admission.AdmittedCaller<catalogue.CallEntry>,
): Promise<neverthrow.Result<backends.ServiceAnswer, stepError.StepError>> {
  const { headers } = request.raw.req;
  const key = schemas
    .parseIdempotencyKey(headers["idempotency-key"] as string | undefined)
    .andThen((value) => checkIdempotencyKey(entry, value));
  if (key.isErr()) return neverthrow.err(key.error);
  try {
    return await parts.calls.call({
      requestId,
      entry,
      accountName: account.name,
      idempotencyKey: key.value,
      contentType: headers["content-type"] ?? DEFAULT_CONTENT_TYPE,
      body: request.payload as Buffer,
      deadlineAtWallMs: parts.clock.wallTimeMs() + entry.deadlineMs,
    });
  } catch (error) {
    return neverthrow.err(errors.toStepError(error, "calls.call"));
  }
}

function checkIdempotencyKey(
  entry: catalogue.CallEntry,
  key: string | null,
): neverthrow.Result<string | null, stepError.StepError> {
  const isOnceOnly = entry.semantics === catalogue.CallSemantics.OnceOnly;
  if (key !== null && !isOnceOnly) {
    return neverthrow.err(createKeyError(`entry "${entry.name}" takes no Idempotency-Key`));
  }
  if (key === null && isOnceOnly && entry.keyRequired) {
    return neverthrow.err(createKeyError(`entry "${entry.name}" needs an Idempotency-Key`));
  }
  return neverthrow.ok(key);
}

function createKeyError(message: string): stepError.StepError {
  return errors.createRefusal(stepError.ErrorCode.InvalidRequest, "request.parse", message);
}

function sendAnswer(
  h: hapi.ResponseToolkit,
  requestId: string,
  answer: backends.ServiceAnswer,
): hapi.ResponseObject {
  return h
    .response(Buffer.from(answer.body))
    .code(answer.statusCode)
    .type(answer.contentType)
    .header("x-request-id", requestId);
}
