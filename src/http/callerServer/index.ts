import type * as hapi from "@hapi/hapi";

import * as stepError from "../../_lib/stepError/index.js";
import * as callRoute from "../_lib/callRoute.js";
import * as completionRoute from "../_lib/completionRoute.js";
import * as hapiServers from "../_lib/hapiServer.js";
import * as httpListeners from "../_lib/httpListener.js";
import type * as types from "../types.js";

/** The callers' HTTP server: generations, calls, liveness and readiness. */
export class CallerServer extends httpListeners.HttpListener {
  /**
   * Opens the port and starts to serve.
   *
   * @throws the cause if the port cannot be opened
   */
  static async start(
    parts: types.CallerServerParts,
    listen: types.ListenOptions,
    limits: types.ServerLimits,
  ): Promise<CallerServer> {
    const server = hapiServers.createHapiServer(listen, limits);
    server.route([
      {
        method: "POST",
        path: "/v1/completions",
        handler: completionRoute.createCompletionHandler(parts),
      },
      {
        method: "GET",
        path: "/v1/requests/{id}",
        handler: completionRoute.createAttachHandler(parts),
      },
      { method: "POST", path: "/v1/calls/{entry}", handler: callRoute.createCallHandler(parts) },
      { method: "GET", path: "/healthz", handler: (_request, h) => h.response("live\n") },
      { method: "GET", path: "/readyz", handler: (_request, h) => sendReadiness(parts, h) },
    ]);
    await server.start();
    return new CallerServer(server);
  }
}

function sendReadiness(
  parts: types.CallerServerParts,
  h: hapi.ResponseToolkit,
): hapi.ResponseObject {
  const { isReady, reason } = parts.readiness();
  if (isReady) return h.response(`${reason}\n`);
  const error = new stepError.StepError(reason, {
    code: stepError.ErrorCode.ShuttingDown,
    step: "http.ready",
    execution: stepError.ExecutionState.NotRun,
  });
  return hapiServers.sendProblem(h, error);
}
