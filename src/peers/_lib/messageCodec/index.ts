import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as jsonrpc from "json-rpc-2.0";

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/** Kinds of JSON-RPC messages, as the first element of each frame names them. */
enum MessageKind {
  Request = 0,
  Notification = 1,
  Result = 2,
  Failure = 3,
}

/** Any JSON-RPC message that passes between VMs. */
export type RpcMessage = jsonrpc.JSONRPCRequest | jsonrpc.JSONRPCResponse;

type FieldsToMessage = (fields: readonly unknown[]) => RpcMessage | undefined;

/** Plain values only: no records, maps, sets, regular expressions or shared structures. */
const packr = new msgpackr.Packr({
  useRecords: false,
  moreTypes: false,
  mapsAsObjects: true,
  encodeUndefinedAsNil: true,
  copyBuffers: true,
  int64AsType: "number",
});

const DECODERS: Readonly<Record<MessageKind, FieldsToMessage>> = {
  [MessageKind.Request]: ([, id, method, params]) => {
    if (typeof id !== "number" || typeof method !== "string") return undefined;
    return { jsonrpc: "2.0", id, method, params };
  },
  [MessageKind.Notification]: ([, method, params]) => {
    if (typeof method !== "string") return undefined;
    return { jsonrpc: "2.0", method, params };
  },
  [MessageKind.Result]: ([, id, result]) => {
    if (typeof id !== "number") return undefined;
    return { jsonrpc: "2.0", id, result };
  },
  [MessageKind.Failure]: ([, id, code, message, data]) => {
    if (typeof id !== "number" || typeof code !== "number") return undefined;
    if (typeof message !== "string") return undefined;
    return { jsonrpc: "2.0", id, error: { code, message, data } };
  },
};

/** Packs a plain value into the body of a frame. */
export function encodeValue(value: unknown): Buffer {
  return packr.pack(value);
}

/**
 * Unpacks the body of a frame.
 *
 * @returns the value, or an error for anything that is not one whole msgpack value
 */
export function decodeValue(body: Buffer): neverthrow.Result<unknown, stepError.StepError> {
  try {
    return neverthrow.ok(packr.unpack(body) as unknown);
  } catch (error) {
    return neverthrow.err(badFrame("frame is not msgpack", error));
  }
}

/** Puts the length before a body. */
export function frameOf(body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(constants.LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, constants.LENGTH_PREFIX_BYTES);
  return frame;
}

/** A request as a frame. */
export function encodeRequest(id: number, method: string, params: unknown): Buffer {
  return frameOf(packr.pack([MessageKind.Request, id, method, params]));
}

/** A notification as a frame. */
export function encodeNotification(method: string, params: unknown): Buffer {
  return frameOf(packr.pack([MessageKind.Notification, method, params]));
}

/** A response as a frame. */
export function encodeResponse(response: jsonrpc.JSONRPCResponse): Buffer {
  if (response.error === undefined) {
    return frameOf(packr.pack([MessageKind.Result, response.id, response.result]));
  }
  const { code, message } = response.error;
  const data: unknown = response.error.data;
  return frameOf(packr.pack([MessageKind.Failure, response.id, code, message, data]));
}

/**
 * Reads a frame's body as a JSON-RPC message.
 *
 * @returns the message, or an error for anything else
 */
export function decodeMessage(body: Buffer): neverthrow.Result<RpcMessage, stepError.StepError> {
  return decodeValue(body).andThen((value) => {
    if (!Array.isArray(value)) return neverthrow.err(badFrame("frame is not a message"));
    const fields: readonly unknown[] = value;
    const [kind] = fields;
    if (!isMessageKind(kind)) return neverthrow.err(badFrame("unknown kind of message"));
    const message = DECODERS[kind](fields);
    if (message === undefined) return neverthrow.err(badFrame("message lacks a field"));
    return neverthrow.ok(message);
  });
}

function isMessageKind(value: unknown): value is MessageKind {
  return typeof value === "number" && Object.hasOwn(DECODERS, value);
}

function badFrame(message: string, cause?: unknown): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.InvalidRequest,
    step: "peer.decode",
    execution: stepError.ExecutionState.NotRun,
    cause,
  });
}
