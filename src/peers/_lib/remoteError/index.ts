import * as jsonrpc from "json-rpc-2.0";
import * as zod from "zod";

import * as stepError from "../../../_lib/stepError/index.js";

const METHOD_NOT_FOUND: number = jsonrpc.JSONRPCErrorCode.MethodNotFound;

const remoteErrorSchema = zod.object({
  code: zod.enum(stepError.ErrorCode),
  step: zod.string(),
  peer: zod.string().optional(),
  execution: zod.enum(stepError.ExecutionState),
  retryAfterMs: zod.number().optional(),
  deliveredTokens: zod.number().optional(),
});

/** Converts an error to a JSON-RPC error response; a StepError's fields are sent with it. */
export function toErrorResponse(
  id: jsonrpc.JSONRPCID,
  error: unknown,
): jsonrpc.JSONRPCErrorResponse {
  const message = error instanceof Error ? error.message : "unknown failure";
  const rpcCode = jsonrpc.JSONRPCErrorCode.InternalError;
  if (!(error instanceof stepError.StepError)) {
    return jsonrpc.createJSONRPCErrorResponse(id, rpcCode, message);
  }
  return jsonrpc.createJSONRPCErrorResponse(id, rpcCode, message, encodeDetails(error));
}

/**
 * Converts a JSON-RPC error to a StepError. An error without StepError fields gets the VM as its
 * peer, and the execution state that its code implies.
 */
export function fromErrorResponse(
  error: jsonrpc.JSONRPCError,
  vmName: string,
): stepError.StepError {
  const details = remoteErrorSchema.safeParse(error.data);
  if (details.success) {
    return new stepError.StepError(error.message, omitUndefined(details.data));
  }
  const isUnknownMethod = error.code === METHOD_NOT_FOUND;
  return new stepError.StepError(error.message, {
    code: stepError.ErrorCode.Internal,
    step: "peer.call",
    peer: vmName,
    execution: isUnknownMethod ? stepError.ExecutionState.NotRun : stepError.ExecutionState.Unknown,
  });
}

function encodeDetails(error: stepError.StepError): Record<string, unknown> {
  const { code, step, peer, execution, retryAfterMs, deliveredTokens } = error;
  return omitUndefined({ code, step, peer, execution, retryAfterMs, deliveredTokens });
}

function omitUndefined<T extends object>(fields: T): { [K in keyof T]: NonNullable<T[K]> } {
  const defined = Object.entries(fields).filter(([, value]) => value !== undefined);
  return Object.fromEntries(defined) as { [K in keyof T]: NonNullable<T[K]> };
}
