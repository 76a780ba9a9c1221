import * as neverthrow from "neverthrow";
import * as zod from "zod";

import * as stepError from "../../_lib/stepError/index.js";
import * as catalogue from "../../catalogue/index.js";
import type * as adminTypes from "../adminTypes.js";
import * as errors from "./errors.js";

/** An authenticated request to the operators' port. */
export interface AdminRequest {
  readonly operations: adminTypes.AdminOperations;
  readonly operator: string;
  readonly params: Readonly<Record<string, string>>;
  readonly payload: Uint8Array | null;
}

type Answer = neverthrow.Result<unknown, stepError.StepError>;

/** A route of the operators' port and its handler. */
export interface AdminRoute {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly handle: (request: AdminRequest) => Promise<Answer>;
}

const CHANGE_SCHEMA = zod.strictObject({
  changeId: zod.string().min(1),
  kind: zod.enum(catalogue.ItemKind),
  name: zod.string().min(1),
  baseRevision: zod.int().nonnegative().nullable(),
  /** Checked for kind and name only; the catalogue validates it with the rules of all VMs. */
  item: zod.looseObject({ kind: zod.enum(catalogue.ItemKind), name: zod.string() }).nullable(),
});

/** All routes of the operators' port. */
export const ADMIN_ROUTES: readonly AdminRoute[] = [
  createGetRoute("/v1/vm", ({ operations }) => operations.describeVm()),
  createGetRoute("/v1/items", ({ operations }) => operations.listItems()),
  createResultRoute("/v1/nodes", ({ operations }) => operations.listNodes()),
  createResultRoute("/v1/backends", ({ operations }) => operations.listBackends()),
  createResultRoute("/v1/queue", ({ operations }) => operations.listQueue()),
  createResultRoute("/v1/burn", ({ operations }) => operations.gatherBurn()),
  createResultRoute("/v1/requests/{id}/trace", ({ operations, params }) =>
    operations.explainRequest(params.id ?? ""),
  ),
  createResultRoute("/v1/engines/{name}", ({ operations, params }) =>
    operations.explainEngine(params.name ?? ""),
  ),
  { method: "GET", path: "/v1/items/{kind}/{name}/history", handle: readHistory },
  { method: "POST", path: "/v1/changes", handle: proposeChange },
];

function createGetRoute(path: string, answer: (request: AdminRequest) => unknown): AdminRoute {
  return {
    method: "GET",
    path,
    handle: (request) => Promise.resolve(neverthrow.ok(answer(request))),
  };
}

function createResultRoute(
  path: string,
  handle: (request: AdminRequest) => Promise<Answer>,
): AdminRoute {
  return { method: "GET", path, handle };
}

async function readHistory({ operations, params }: AdminRequest): Promise<Answer> {
  const kind = zod.enum(catalogue.ItemKind).safeParse(params.kind);
  if (!kind.success)
    return neverthrow.err(createInvalidRequestError(`unknown kind "${params.kind ?? ""}"`));
  return operations.readHistory(kind.data, params.name ?? "");
}

async function proposeChange(request: AdminRequest): Promise<Answer> {
  const change = parseChange(request.payload);
  if (change.isErr()) return neverthrow.err(change.error);
  return request.operations.proposeChange(change.value, request.operator);
}

function parseChange(
  payload: Uint8Array | null,
): neverthrow.Result<adminTypes.ProposedChange, stepError.StepError> {
  let body: unknown;
  try {
    body = JSON.parse(Buffer.from(payload ?? []).toString("utf8"));
  } catch {
    return neverthrow.err(createInvalidRequestError("the body is not JSON"));
  }
  const checked = CHANGE_SCHEMA.safeParse(body);
  if (!checked.success)
    return neverthrow.err(createInvalidRequestError(zod.prettifyError(checked.error)));
  return neverthrow.ok(checked.data as unknown as adminTypes.ProposedChange);
}

function createInvalidRequestError(message: string): stepError.StepError {
  return errors.createRefusal(stepError.ErrorCode.InvalidRequest, "admin.parse", message);
}
