import * as msgpackr from "msgpackr";
import * as neverthrow from "neverthrow";
import type * as jsonrpc from "json-rpc-2.0";

import * as stepError from "../../../_lib/stepError/index.js";
import * as constants from "../../constants.js";

/** Kind of a JSON-RPC message; the first element of each frame. */
enum MessageKind {
  Request = 0,
  Notification = 1,
  Result = 2,
  Failure = 3,
}

/** A JSON-RPC message between VMs. */
export type RpcMessage = jsonrpc.JSONRPCRequest | jsonrpc.JSONRPCResponse;

type FieldsToMessage = (fields: readonly unknown[]) => RpcMessage | undefined;

/** Encodes plain values only: no records, maps, sets, regular expressions or shared structures. */
const codec = new msgpackr.Packr({
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

/** Encodes a plain value as the body of a frame, in MessagePack. */
export function encodeValue(value: unknown): Buffer {
  return codec.pack(value);
}

/**
 * Decodes the body of a frame.
 *
 * @returns the value, or an error if the body is not exactly one MessagePack value
 */
export function decodeValue(body: Buffer): neverthrow.Result<unknown, stepError.StepError> {
  try {
    return neverthrow.ok(codec.unpack(body) as unknown);
  } catch (error) {
    return neverthrow.err(createBadFrameError("the frame is not valid MessagePack", error));
  }
}

/** Returns the frame of a body: its length prefix and the body. */
export function encodeFrame(body: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(constants.LENGTH_PREFIX_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, constants.LENGTH_PREFIX_BYTES);
  return frame;
}

/** Encodes a request as a frame. */
export function encodeRequest(id: number, method: string, params: unknown): Buffer {
  return encodeFrame(codec.pack([MessageKind.Request, id, method, params]));
}

/** Encodes a notification as a frame. */
export function encodeNotification(method: string, params: unknown): Buffer {
  return encodeFrame(codec.pack([MessageKind.Notification, method, params]));
}

/** Encodes a response as a frame. */
export function encodeResponse(response: jsonrpc.JSONRPCResponse): Buffer {
  if (response.error === undefined) {
    return encodeFrame(codec.pack([MessageKind.Result, response.id, response.result]));
  }
  const { code, message } = response.error;
  const data: unknown = response.error.data;
  return encodeFrame(codec.pack([MessageKind.Failure, response.id, code, message, data]));
}

/**
 * Decodes a frame's body as a JSON-RPC message.
 *
 * @returns the message, or an error if the body is not a valid message
 */
export function decodeMessage(body: Buffer): neverthrow.Result<RpcMessage, stepError.StepError> {
  return decodeValue(body).andThen((value) => {
    if (!Array.isArray(value))
      return neverthrow.err(createBadFrameError("the frame is not an array of message fields"));
    const fields: readonly unknown[] = value;
    const [kind] = fields;
    if (!isMessageKind(kind))
      return neverthrow.err(createBadFrameError("the message kind is unknown"));
    const message = DECODERS[kind](fields);
    if (message === undefined)
      return neverthrow.err(
        createBadFrameError("a field of the message is missing or has the wrong type"),
      );
    return neverthrow.ok(message);
  });
}

function isMessageKind(value: unknown): value is MessageKind {
  return typeof value === "number" && Object.hasOwn(DECODERS, value);
}

function createBadFrameError(message: string, cause?: unknown): stepError.StepError {
  return new stepError.StepError(message, {
    code: stepError.ErrorCode.InvalidRequest,
    step: "peer.decode",
    execution: stepError.ExecutionState.NotRun,
    cause,
  });
}
