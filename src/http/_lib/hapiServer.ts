import * as http from "node:http";
import * as https from "node:https";

import type * as boom from "@hapi/boom";
import * as hapi from "@hapi/hapi";

import * as stepError from "../../_lib/stepError/index.js";
import * as constants from "../constants.js";
import * as problems from "../createProblem/index.js";
import type * as types from "../types.js";
import * as errors from "./errors.js";

const MS_PER_SECOND = 1_000;

const ERROR_CODE_BY_STATUS: Readonly<Record<number, stepError.ErrorCode>> = {
  400: stepError.ErrorCode.InvalidRequest,
  404: stepError.ErrorCode.NotFound,
  405: stepError.ErrorCode.NotFound,
  408: stepError.ErrorCode.InvalidRequest,
  413: stepError.ErrorCode.TooLarge,
  415: stepError.ErrorCode.InvalidRequest,
};

/** Creates a hapi server with the given limits that answers every error with a problem document. */
export function createHapiServer(
  listen: types.ListenOptions,
  limits: types.ServerLimits,
): hapi.Server {
  const listener = createListener(listen, limits);
  const server = hapi.server({
    address: listen.address,
    host: listen.address,
    port: listen.port,
    listener,
    tls: listen.tls !== null,
    compression: false,
    debug: false,
    routes: {
      payload: {
        parse: false,
        output: "data",
        maxBytes: limits.maxBodyBytes,
        timeout: limits.requestTimeoutMs,
      },
    },
  });
  // hapi's clientError listener answers every unreadable request with 400; Node's default handling
  // distinguishes 408 (timeout) and 431 (header block too large).
  listener.removeAllListeners("clientError");
  server.ext("onPreResponse", (request, h) => {
    const { response } = request;
    if (!isBoom(response)) return h.continue;
    const { statusCode } = response.output;
    const status = statusCode in ERROR_CODE_BY_STATUS ? { status: statusCode } : {};
    return sendProblemDocument(h, {
      ...problems.createProblem(convertBoomError(response, request.path)),
      ...status,
    });
  });
  return server;
}

/** Sends an error as a problem document, with a `Retry-After` header if it has a retry delay. */
export function sendProblem(
  h: hapi.ResponseToolkit,
  error: stepError.StepError,
  requestId?: string,
): hapi.ResponseObject {
  const response = sendProblemDocument(h, problems.createProblem(error, requestId));
  if (requestId !== undefined) response.header("x-request-id", requestId);
  return response;
}

function sendProblemDocument(
  h: hapi.ResponseToolkit,
  problem: problems.Problem,
): hapi.ResponseObject {
  const response = h
    .response(JSON.stringify(problem))
    .code(problem.status)
    .type(constants.PROBLEM_MEDIA_TYPE);
  if (problem.retryAfterMs !== undefined) {
    const retryAfterSeconds = Math.max(1, Math.ceil(problem.retryAfterMs / MS_PER_SECOND));
    response.header("retry-after", String(retryAfterSeconds));
  }
  return response;
}

function createListener(
  { tls }: types.ListenOptions,
  limits: types.ServerLimits,
): http.Server | https.Server {
  const options = {
    maxHeaderSize: limits.maxHeaderBytes,
    requestTimeout: limits.requestTimeoutMs,
    headersTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: Math.min(limits.requestTimeoutMs, MS_PER_SECOND),
  };
  const listener =
    tls === null ? http.createServer(options) : https.createServer({ ...options, ...tls });
  listener.maxConnections = limits.maxConnections;
  return listener;
}

function isBoom(response: hapi.ResponseObject | boom.Boom): response is boom.Boom {
  return "isBoom" in response;
}

function convertBoomError(error: boom.Boom, path: string): stepError.StepError {
  const code = ERROR_CODE_BY_STATUS[error.output.statusCode];
  if (code === undefined) return errors.toStepError(error, "http.handle");
  const message =
    code === stepError.ErrorCode.NotFound ? `nothing is served at ${path}` : error.message;
  return errors.createRefusal(code, "http.receive", message);
}
