import type * as hapi from "@hapi/hapi";
import * as neverthrow from "neverthrow";

import * as stepError from "../../_lib/stepError/index.js";
import type * as adminTypes from "../adminTypes.js";
import * as keys from "../hashKey/index.js";
import * as adminRoutes from "../_lib/adminRoutes.js";
import * as authentication from "../_lib/authenticateAccount.js";
import * as errors from "../_lib/errors.js";
import * as hapiServers from "../_lib/hapiServer.js";
import * as httpListeners from "../_lib/httpListener.js";
import type * as types from "../types.js";

/** An operator's name and the hash of the operator's key. */
export interface OperatorKey {
  readonly operator: string;
  readonly keyHash: string;
}

/** The operators' HTTP server; accepts operators' keys only, no keys of client accounts. */
export class AdminServer extends httpListeners.HttpListener {
  /**
   * Opens the port and starts to serve.
   *
   * @throws the cause if the port cannot be opened
   */
  static async start(
    operations: adminTypes.AdminOperations,
    operatorKeys: readonly OperatorKey[],
    listen: types.ListenOptions,
    limits: types.ServerLimits,
  ): Promise<AdminServer> {
    const server = hapiServers.createHapiServer(listen, limits);
    for (const route of adminRoutes.ADMIN_ROUTES) {
      server.route({
        method: route.method,
        path: route.path,
        handler: (request, h) => handle(operations, operatorKeys, route, request, h),
      });
    }
    await server.start();
    return new AdminServer(server);
  }
}

async function handle(
  operations: adminTypes.AdminOperations,
  operatorKeys: readonly OperatorKey[],
  route: adminRoutes.AdminRoute,
  request: hapi.Request,
  h: hapi.ResponseToolkit,
): Promise<hapi.ResponseObject> {
  const operator = authenticateOperator(request, operatorKeys);
  if (operator.isErr()) return hapiServers.sendProblem(h, operator.error);
  const answer = await route.handle({
    operations,
    operator: operator.value,
    params: request.params as Readonly<Record<string, string>>,
    payload: request.payload as Uint8Array | null,
  });
  return answer.match(
    (value) => h.response(JSON.stringify(value)).type("application/json"),
    (error) => hapiServers.sendProblem(h, error),
  );
}

function authenticateOperator(
  request: hapi.Request,
  operatorKeys: readonly OperatorKey[],
): neverthrow.Result<string, stepError.StepError> {
  const key = authentication.readBearerKey(request) ?? "";
  const hash = keys.hashKey(key);
  const found = operatorKeys.filter(({ keyHash }) => keys.isHashAmong(hash, [keyHash]));
  const [first] = found;
  if (first !== undefined) return neverthrow.ok(first.operator);
  return neverthrow.err(
    errors.createRefusal(
      stepError.ErrorCode.Unauthenticated,
      "http.authenticate",
      "expected an Authorization header with an operator's Bearer key",
    ),
  );
}
